"""Tests of mutual TLS between VMs, and of reloaded certificates."""

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
    """A folder with a CA certificate, and a key and certificate of VMs."""

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
        """Returns the serial of the certificate served at an address, or ""."""
        context = ssl.create_default_context(cafile=self.folder / "ca.pem")
        host, _, port = address.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 2) as raw:
                with context.wrap_socket(raw, server_hostname=host) as secured:
                    return secured.getpeercert()["serialNumber"]
        except OSError:
            return ""

    def fresh_index(self, address):
        """Returns a VM's settings index; -1 if it is not reachable or fresh."""
        context = ssl.create_default_context(cafile=self.folder / "ca.pem")
        url = f"https://{address}/.pollenseam/health"
        try:
            with urllib.request.urlopen(url, timeout=2, context=context) as r:
                health = json.loads(r.read())
        except OSError:
            return -1
        return health["settings_index"] if health["fresh"] else -1


def probe(address, credentials):
    """Returns the gRPC status code of a call to a VM's peer address."""
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
    vm_specs = fleet.make_vm_specs({"r1": ["d1"]}, vms_per_domain=1, replicas=1)
    vm_specs.append(fleet.VmSpec("plain", "r1", "d1", is_replica=False))
    with fleet.Fleet(tmp_path, vm_specs) as running:
        for vm_spec in vm_specs:
            running.start(vm_spec.name, *files.flags())
        for vm_spec in vm_specs:
            fleet.wait_until(lambda s=vm_spec: files.fresh_index(s.caller) > 0)
        yield running, files


def test_vms_join_over_mutual_tls_and_untrusted_clients_are_refused(secure):
    running, files = secure
    address = running.vms["plain"].peer
    authority = (files.folder / "ca.pem").read_bytes()
    key = (files.folder / "key.pem").read_bytes()
    chain = (files.folder / "cert.pem").read_bytes()
    trusted = grpc.ssl_channel_credentials(authority, key, chain)
    assert probe(address, trusted) == grpc.StatusCode.OK
    anonymous = grpc.ssl_channel_credentials(authority)
    assert probe(address, anonymous) != grpc.StatusCode.OK
    other_issued = trustme.CA().issue_cert("127.0.0.1")
    untrusted = grpc.ssl_channel_credentials(
        authority,
        other_issued.private_key_pem.bytes(),
        other_issued.cert_chain_pems[0].bytes(),
    )
    assert probe(address, untrusted) != grpc.StatusCode.OK


def test_new_certificates_are_served_without_a_restart(secure):
    running, files = secure
    address = running.vms["plain"].caller
    old_serial = files.served_serial(address)
    files.issue(files.authority)
    fleet.wait_until(
        lambda: files.served_serial(address) not in ("", old_serial)
    )
    index = files.fresh_index(address)
    assert index > 0
