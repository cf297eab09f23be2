"""TLS contexts that reload their certificate while the process runs."""

import pathlib
import ssl
from collections.abc import Callable

from absl import logging

from pearshed._internal.errors import SettingsError
from pearshed._internal.settings.model import TlsFiles

_HTTP2 = "h2"

_ModificationTimes = tuple[float, ...]


class ReloadingContext:
    """TLS contexts for a certificate and key that are reloaded when the files change.

    The files may be replaced one after the other. Changed files are loaded into a new context,
    which is used for new connections once the key belongs to the certificate; until then an error
    is logged and the previous pair stays in use. Open connections keep theirs.

    :param create: creates a context without a certificate.
    """

    def __init__(self, create: Callable[[], ssl.SSLContext], files: TlsFiles) -> None:
        self._create = create
        self._files = files
        self._reloads = 0
        self._problem = ""
        try:
            self._current = self._load()
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(
                "can't load the TLS certificate and key",
                context=[f"{files.certificate}, {files.key}: {error}"],
                hint="both must be readable PEM files, and the key must belong to the certificate",
            ) from error
        self._modified_at = self._read_modification_times()

    @property
    def current(self) -> ssl.SSLContext:
        """The context with the certificate in use; replaced by a reload."""
        return self._current

    @property
    def reloads(self) -> int:
        """Number of times that changed files were loaded."""
        return self._reloads

    def create_server_context(self) -> ssl.SSLContext:
        """Create a context for a server; its connections use the pair in use when they begin."""
        context = self._create()
        context.sni_callback = self._use_current
        return context

    def reload_if_changed(self) -> None:
        """Reload the files if they have changed."""
        try:
            modified_at = self._read_modification_times()
            if modified_at == self._modified_at:
                return
            self._current = self._load()
        except (OSError, ssl.SSLError) as error:
            if str(error) != self._problem:
                self._problem = str(error)
                logging.error(
                    "kept the TLS certificate in use; can't load the new files: %s", error
                )
            return
        self._problem = ""
        self._modified_at = modified_at
        self._reloads += 1
        logging.info("reloaded the TLS certificate")

    def _load(self) -> ssl.SSLContext:
        context = self._create()
        context.load_cert_chain(self._files.certificate, self._files.key)
        return context

    def _use_current(
        self, connection: ssl.SSLObject, server_name: str | None, context: ssl.SSLContext
    ) -> None:
        """Switch a connection whose handshake begins; called without a server name as well."""
        del server_name, context
        connection.context = self._current

    def _read_modification_times(self) -> _ModificationTimes:
        paths = (self._files.certificate, self._files.key)
        return tuple(pathlib.Path(path).stat().st_mtime_ns for path in paths)


def peer_server_context(files: TlsFiles) -> ReloadingContext:
    """Create a side's context: entries must present a certificate of the same authority."""
    return ReloadingContext(lambda: _peer_context(ssl.PROTOCOL_TLS_SERVER, files), files)


def peer_client_context(files: TlsFiles) -> ReloadingContext:
    """Create an entry's context: sides must present a certificate of the same authority.

    Host names are not checked: entries connect by IP address, and the authority issues
    certificates only for this fleet.
    """
    return ReloadingContext(lambda: _peer_context(ssl.PROTOCOL_TLS_CLIENT, files), files)


def caller_server_context(files: TlsFiles) -> ReloadingContext:
    """Create the context for connections of callers."""
    return ReloadingContext(_caller_context, files)


def _caller_context() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def _peer_context(protocol: int, files: TlsFiles) -> ssl.SSLContext:
    """Create a context whose peers must present a certificate of the fleet's authority."""
    context = ssl.SSLContext(protocol)
    context.check_hostname = False
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
