"""TLS: VMs know each other by certificate; files are read again."""

import json
import socket
import ssl
import urllib.request

import grpc
import pytest
import trustme

from pollenseam import messages
from pollenseam import peers
from pollenseam.standins import fleet


class CertificateFolder:

    def __init__(self, folder):
        self.folder = folder
        self.authority = trustme.CA()
        self.authority.cert_pem.write_to_path(str(folder / "ca.pem"))
        self.issue(self.authority)

    def issue(self, authority):
        issued = authority.issue_cert("127.0.0.1")
        chain = b"".join(blob.bytes() for blob in issued.cert_chain_pems)
        (self.folder / "key.pem").write_bytes(issued.private_key_pem.bytes())
        (self.folder / "cert.pem").write_bytes(chain)

    def flags(self):
        return (
            *("--tls-certificate", str(self.folder / "cert.pem")),
            *("--tls-key", str(self.folder / "key.pem")),
            *("--tls-authority", str(self.folder / "ca.pem")),
        )

    def served_serial(self, address):
        """Returns the serial number of the certificate that is served."""
        context = ssl.create_default_context(cafile=self.folder / "ca.pem")
        host, _, port = address.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 2) as plain:
                with context.wrap_socket(plain, server_hostname=host) as safe:
                    return safe.getpeercert()["serialNumber"]
        except OSError:
            return ""

    def fresh_index(self, address):
        """Returns the settings index that a VM has in force; -1 if none."""
        context = ssl.create_default_context(cafile=self.folder / "ca.pem")
        url = f"https://{address}/.pollenseam/health"
        try:
            with urllib.request.urlopen(url, timeout=2, context=context) as r:
                health = json.loads(r.read())
        except OSError:
            return -1
        return health["settings_index"] if health["fresh"] else -1


def probe(address, credentials):
    """Returns the status code of one call to a VM's peer address."""
    with grpc.secure_channel(address, credentials) as channel:
        stub = channel.unary_unary(f"/{peers.SERVICE}/Probe")
        try:
            stub(
                messages.encode(messages.IdentityRequest("x", "", 0)), timeout=3
            )
        except grpc.RpcError as error:
            return error.code()
    return grpc.StatusCode.OK


@pytest.fixture
def secure(tmp_path):
    files = CertificateFolder(tmp_path)
    places = fleet.make_vm_specs({"r1": ["d1"]}, vms_per_domain=1, replicas=1)
    places.append(fleet.VmSpec("plain", "r1", "d1", is_replica=False))
    with fleet.Fleet(tmp_path, places) as running:
        for place in places:
            running.start(place.name, *files.flags())
        for place in places:
            fleet.wait_until(lambda p=place: files.fresh_index(p.caller) > 0)
        yield running, files


def test_vms_join_over_mutual_tls_and_strangers_do_not(secure):
    running, files = secure
    address = running.vms["plain"].peer
    authority = (files.folder / "ca.pem").read_bytes()
    key = (files.folder / "key.pem").read_bytes()
    chain = (files.folder / "cert.pem").read_bytes()
    own = grpc.ssl_channel_credentials(authority, key, chain)
    assert probe(address, own) == grpc.StatusCode.OK
    nameless = grpc.ssl_channel_credentials(authority)
    assert probe(address, nameless) != grpc.StatusCode.OK
    other = trustme.CA().issue_cert("127.0.0.1")
    stranger = grpc.ssl_channel_credentials(
        authority,
        other.private_key_pem.bytes(),
        other.cert_chain_pems[0].bytes(),
    )
    assert probe(address, stranger) != grpc.StatusCode.OK


def test_new_certificates_are_served_without_a_restart(secure):
    running, files = secure
    address = running.vms["plain"].caller
    before = files.served_serial(address)
    files.issue(files.authority)
    fleet.wait_until(lambda: files.served_serial(address) not in ("", before))
    index = files.fresh_index(address)
    assert index > 0
