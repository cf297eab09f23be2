"""TLS contexts that reload their certificate while the process runs."""

import pathlib
import ssl

from absl import logging

from pearshed._internal.errors import SettingsError
from pearshed._internal.settings.model import TlsFiles

_HTTP2 = "h2"

_ModificationTimes = tuple[float, ...]


class ReloadingContext:
    """A TLS context that reloads its certificate and key when the files change.

    New connections use the new certificate; open connections keep the old one. If the new files
    can't be loaded, an error is logged and the previous certificate stays in use.
    """

    def __init__(self, context: ssl.SSLContext, files: TlsFiles) -> None:
        self._context = context
        self._files = files
        self._reloads = 0
        try:
            self._load()
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(
                "can't load the TLS certificate and key",
                context=[f"{files.certificate}, {files.key}: {error}"],
                hint="both must be readable PEM files, and the key must belong to the certificate",
            ) from error
        self._modified_at = self._read_modification_times()

    @property
    def context(self) -> ssl.SSLContext:
        """The context; the same object for the lifetime of the process."""
        return self._context

    @property
    def reloads(self) -> int:
        """Number of times that changed files were loaded."""
        return self._reloads

    def reload_if_changed(self) -> None:
        """Reload the files if they have changed."""
        try:
            modified_at = self._read_modification_times()
            if modified_at == self._modified_at:
                return
            self._load()
        except (OSError, ssl.SSLError) as error:
            logging.error("kept the TLS certificate in use; can't load the new files: %s", error)
            return
        self._modified_at = modified_at
        self._reloads += 1
        logging.info("reloaded the TLS certificate")

    def _load(self) -> None:
        self._context.load_cert_chain(self._files.certificate, self._files.key)

    def _read_modification_times(self) -> _ModificationTimes:
        paths = (self._files.certificate, self._files.key)
        return tuple(pathlib.Path(path).stat().st_mtime_ns for path in paths)


def peer_server_context(files: TlsFiles) -> ReloadingContext:
    """Create a side's context: entries must present a certificate of the same authority."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    return ReloadingContext(_require_authority(context, files), files)


def peer_client_context(files: TlsFiles) -> ReloadingContext:
    """Create an entry's context: sides must present a certificate of the same authority.

    Host names are not checked: entries connect by IP address, and the authority issues
    certificates only for this fleet.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return ReloadingContext(_require_authority(context, files), files)


def caller_server_context(files: TlsFiles) -> ReloadingContext:
    """Create the context for connections of callers."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return ReloadingContext(context, files)


def _require_authority(context: ssl.SSLContext, files: TlsFiles) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols([_HTTP2])
    try:
        context.load_verify_locations(files.authority)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(
            f"can't load the TLS authority {files.authority}", context=[str(error)]
        ) from error
    return context
