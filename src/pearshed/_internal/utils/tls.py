"""TLS contexts whose certificates can be replaced while the process runs."""

import pathlib
import ssl

from absl import logging

from pearshed._internal.errors import SettingsError
from pearshed._internal.settings.model import TlsFiles

_HTTP2 = "h2"

_Stamp = tuple[float, ...]


class ReloadingContext:
    """A TLS context that loads its certificate and key again when the files change.

    Connections that are open keep theirs; new ones use the new files. Files that don't fit
    together are logged, and the last good ones stay in use.
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
                hint="both must be PEM files that fit together and can be read",
            ) from error
        self._stamp = self._read_stamp()

    @property
    def context(self) -> ssl.SSLContext:
        """The context, the same for the life of the process."""
        return self._context

    @property
    def reloads(self) -> int:
        """Times that changed files were loaded."""
        return self._reloads

    def reload_if_changed(self) -> None:
        """Load the files again if they have changed."""
        try:
            stamp = self._read_stamp()
            if stamp == self._stamp:
                return
            self._load()
        except (OSError, ssl.SSLError) as error:
            logging.error("kept the TLS certificate in use; the new files are bad: %s", error)
            return
        self._stamp = stamp
        self._reloads += 1
        logging.info("loaded a new TLS certificate")

    def _load(self) -> None:
        self._context.load_cert_chain(self._files.certificate, self._files.key)

    def _read_stamp(self) -> _Stamp:
        paths = (self._files.certificate, self._files.key)
        return tuple(pathlib.Path(path).stat().st_mtime_ns for path in paths)


def peer_server_context(files: TlsFiles) -> ReloadingContext:
    """Make the context of a side: entries must show a certificate of the same authority."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    return ReloadingContext(_require_authority(context, files), files)


def peer_client_context(files: TlsFiles) -> ReloadingContext:
    """Make the context of an entry: sides must show a certificate of the same authority.

    Peers are dialled by IP number and the authority is the fleet's own, so any certificate of
    it will do, whatever name it carries.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return ReloadingContext(_require_authority(context, files), files)


def caller_server_context(files: TlsFiles) -> ReloadingContext:
    """Make the context that callers are served with."""
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
