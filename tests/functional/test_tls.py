"""Tests of TLS between processes and for callers, and of reloading certificates."""

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
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.authority = trustme.CA()
        self.authority.cert_pem.write_to_path(str(self.directory / "authority.pem"))
        self.issue("process")
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    def issue(self, name: str) -> Document:
        """Write a new certificate and key, replacing earlier ones."""
        issued = self.authority.issue_cert("127.0.0.1")
        (self.directory / f"{name}.crt").write_bytes(issued.cert_chain_pems[0].bytes())
        (self.directory / f"{name}.key").write_bytes(issued.private_key_pem.bytes())
        return self.files(name)

    def files(self, name: str) -> Document:
        return {
            "certificate": str(self.directory / f"{name}.crt"),
            "key": str(self.directory / f"{name}.key"),
        }

    def peers(self) -> Document:
        authority = str(self.directory / "authority.pem")
        return {"peers": {**self.files("process"), "authority": authority}}

    def site(self) -> SmallSite:
        callers = self.issue("callers")
        return SmallSite(
            self.fleet,
            side={"tls": self.peers()},
            tls={**self.peers(), "callers": callers},
        )

    def post_chat(self, site: SmallSite) -> urllib3.BaseHTTPResponse:
        authority = str(self.directory / "authority.pem")
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
        self.assertEqual(b"".join(stream_chunks(chat_body())), self.post_chat(site).data)
        before = self.served_certificate(site)
        self.issue("callers")
        wait_for(lambda: self.served_certificate(site) != before, "the new certificate")
        self.assertEqual(200, self.post_chat(site).status)

    def test_old_certificate_stays_in_use_if_the_new_files_are_invalid(self) -> None:
        site = self.site()
        (self.directory / "callers.crt").write_text("not a certificate")
        wait_for(lambda: "kept the TLS certificate" in site.entry.log_text(), "the error")
        self.assertEqual(200, self.post_chat(site).status)

    def test_entry_without_certificate_is_rejected(self) -> None:
        site = self.site()
        untrusted_entry = self.fleet.start_entry("untrusted")
        wait_for(
            lambda: "connection to engine-1 ended" in untrusted_entry.log_text(), "the rejection"
        )
        self.assertFalse(any(link["connected"] for link in untrusted_entry.dump()["links"]))
        self.assertNotIn("untrusted", site.sides[0].dump()["entries"])


if __name__ == "__main__":
    unittest.main()
