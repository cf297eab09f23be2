"""Reloading of TLS certificates and keys that are replaced one file at a time."""

import pathlib
import ssl
import tempfile
import unittest
from collections.abc import Callable

import trustme
from parameterized import parameterized

from pearshed._internal.settings.model import TlsFiles
from pearshed._internal.utils.tls import (
    ReloadingContext,
    caller_server_context,
    peer_client_context,
    peer_server_context,
)

_CONTEXTS = {
    "callers": caller_server_context,
    "peers_of_a_side": peer_server_context,
    "peers_of_an_entry": peer_client_context,
}
_DAMAGES: dict[str, Callable[[pathlib.Path, bytes], object]] = {
    "replaced": lambda path, new: path.write_bytes(new),
    "cut_short": lambda path, new: path.write_bytes(new[: len(new) // 2]),
    "empty": lambda path, new: path.write_bytes(b""),
    "missing": lambda path, new: path.unlink(),
    "unreadable": lambda path, new: replace_by_directory(path),
}


def replace_by_directory(path: pathlib.Path) -> None:
    """Make a file unreadable, for root as well."""
    path.unlink()
    path.mkdir()


def handshake(server: ssl.SSLContext, client: ssl.SSLContext) -> tuple[bytes, bytes | None]:
    """Shake hands in memory.

    :returns: the certificates of the server and of the client, or ``None`` if it sent none.
    """
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    server_end = server.wrap_bio(to_server, to_client, server_side=True)
    client_end = client.wrap_bio(to_client, to_server, server_hostname="127.0.0.1")
    for _ in range(3):
        for end in (client_end, server_end):
            try:
                end.do_handshake()
            except ssl.SSLWantReadError:
                pass
    served = client_end.getpeercert(binary_form=True)
    assert served is not None
    return served, server_end.getpeercert(binary_form=True)


class ReloadingContextTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.authority = trustme.CA()
        self.authority.cert_pem.write_to_path(str(self.directory / "authority.pem"))
        self.certificate = self.directory / "process.crt"
        self.key = self.directory / "process.key"

    def issue(self) -> tuple[bytes, bytes]:
        """Issue a certificate; return it and its key."""
        issued = self.authority.issue_cert("127.0.0.1")
        return issued.cert_chain_pems[0].bytes(), issued.private_key_pem.bytes()

    def create(self, kind: str) -> ReloadingContext:
        files = TlsFiles(
            str(self.certificate), str(self.key), str(self.directory / "authority.pem")
        )
        return _CONTEXTS[kind](files)

    def presented(self, kind: str, context: ReloadingContext) -> bytes | None:
        """Shake hands with a peer; return the certificate that the context presents."""
        if kind == "peers_of_an_entry":
            server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            server.verify_mode = ssl.CERT_REQUIRED
            self.authority.configure_trust(server)
            self.authority.issue_cert("127.0.0.1").configure_cert(server)
            return handshake(server, context.current)[1]
        client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.authority.configure_trust(client)
        self.authority.issue_cert("127.0.0.1").configure_cert(client)
        served, received = handshake(context.create_server_context(), client)
        self.assertEqual(kind == "peers_of_a_side", received is not None)
        return served

    @parameterized.expand(
        [
            (kind, file, damage)
            for kind in _CONTEXTS
            for file in ("certificate", "key")
            for damage in _DAMAGES
        ]
    )
    def test_the_pair_in_use_is_kept_until_both_files_of_the_next_one_fit(
        self, kind: str, file: str, damage: str
    ) -> None:
        first_certificate, first_key = self.issue()
        self.certificate.write_bytes(first_certificate)
        self.key.write_bytes(first_key)
        context = self.create(kind)
        before = self.presented(kind, context)
        next_certificate, next_key = self.issue()
        path = getattr(self, file)
        with self.assertLogs("absl", "ERROR") as logs:
            _DAMAGES[damage](path, next_certificate if file == "certificate" else next_key)
            for _ in range(3):
                context.reload_if_changed()
                self.assertEqual(before, self.presented(kind, context))
        self.assertEqual(1, len(logs.records), logs.output)
        self.assertIn("kept the TLS certificate in use", logs.output[0])
        if path.is_dir():
            path.rmdir()
        self.certificate.write_bytes(next_certificate)
        self.key.write_bytes(next_key)
        context.reload_if_changed()
        der = ssl.PEM_cert_to_DER_cert(next_certificate.decode())
        self.assertEqual(der, self.presented(kind, context))
        self.assertEqual(1, context.reloads)


if __name__ == "__main__":
    unittest.main()
