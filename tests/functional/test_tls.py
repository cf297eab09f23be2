"""TLS between processes and towards callers, with certificates replaced in service."""

import json
import pathlib
import ssl
import tempfile
import unittest

import trustme
import urllib3

from tests.lib import records
from tests.lib.engine import stream_chunks
from tests.lib.fleet import Fleet, SmallSite, chat_body, wait_for
from tests.lib.records import Document


class TlsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.authority = trustme.CA()
        self.authority.cert_pem.write_to_path(str(self.folder / "authority.pem"))
        self.issue("process")
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    def issue(self, name: str) -> Document:
        """Write a new certificate and key, in place of earlier ones."""
        issued = self.authority.issue_cert("127.0.0.1")
        (self.folder / f"{name}.crt").write_bytes(issued.cert_chain_pems[0].bytes())
        (self.folder / f"{name}.key").write_bytes(issued.private_key_pem.bytes())
        return self.files(name)

    def files(self, name: str) -> Document:
        return {
            "certificate": str(self.folder / f"{name}.crt"),
            "key": str(self.folder / f"{name}.key"),
        }

    def peers(self) -> Document:
        authority = str(self.folder / "authority.pem")
        return {"peers": {**self.files("process"), "authority": authority}}

    def site(self) -> SmallSite:
        callers = self.issue("callers")
        return SmallSite(
            self.fleet,
            side={"tls": self.peers()},
            tls={**self.peers(), "callers": callers},
        )

    def ask(self, site: SmallSite) -> urllib3.BaseHTTPResponse:
        authority = str(self.folder / "authority.pem")
        with urllib3.PoolManager(ca_certs=authority, retries=False) as pool:
            return pool.request(
                "POST",
                f"https://127.0.0.1:{site.entry.port}/v1/chat/completions",
                body=json.dumps(chat_body()),
                headers={"Authorization": f"Bearer {records.API_KEY}"},
            )

    def served_certificate(self, site: SmallSite) -> str:
        return ssl.get_server_certificate(("127.0.0.1", site.entry.port))

    def test_callers_and_peers_use_tls_and_new_certificates_are_taken_up(self) -> None:
        site = self.site()
        self.assertEqual(b"".join(stream_chunks(chat_body())), self.ask(site).data)
        before = self.served_certificate(site)
        self.issue("callers")
        wait_for(lambda: self.served_certificate(site) != before, "the new certificate")
        self.assertEqual(200, self.ask(site).status)

    def test_bad_new_files_leave_the_old_ones_in_use(self) -> None:
        site = self.site()
        (self.folder / "callers.crt").write_text("not a certificate")
        wait_for(lambda: "kept the TLS certificate" in site.entry.log_text(), "the complaint")
        self.assertEqual(200, self.ask(site).status)

    def test_an_entry_without_certificate_is_not_let_in(self) -> None:
        site = self.site()
        stranger = self.fleet.start_entry("stranger")
        wait_for(lambda: "connection to engine-1 ended" in stranger.log_text(), "the refusal")
        self.assertFalse(any(link["connected"] for link in stranger.dump()["links"]))
        self.assertNotIn("stranger", site.sides[0].dump()["entries"])


if __name__ == "__main__":
    unittest.main()
