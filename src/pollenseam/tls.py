"""Certificates of a VM: read from files, reloaded without a restart."""

import asyncio
import pathlib
import ssl

from pollenseam import flags
from pollenseam import peers

RELOAD_INTERVAL_SECONDS = 2.0


class CertificateFiles:
    """The three PEM files and what was made of them.

    Attributes:
        certificate: File with the VM's certificate chain.
        key: File with its private key.
        authority: File with the authority of all VMs.
    """

    def __init__(
        self,
        certificate: pathlib.Path,
        key: pathlib.Path,
        authority: pathlib.Path,
    ) -> None:
        self.certificate = certificate
        self.key = key
        self.authority = authority
        self._context: ssl.SSLContext | None = None
        self._loaded_mtimes = self._read_mtimes()

    def credentials(self) -> peers.Credentials:
        """Returns the current texts, for calls between VMs."""
        return peers.Credentials(
            self.certificate.read_bytes(),
            self.key.read_bytes(),
            self.authority.read_bytes(),
        )

    def server_context(self) -> ssl.SSLContext:
        """Returns the context of the caller address."""
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self.certificate, self.key)
        self._context = context
        return context

    async def watch(self, peer_client: peers.Client) -> None:
        """Reloads changed files until cancelled."""
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_SECONDS)
            stamp = self._read_mtimes()
            if stamp == self._loaded_mtimes:
                continue
            try:
                if self._context is not None:
                    self._context.load_cert_chain(self.certificate, self.key)
                await peer_client.replace_credentials(self.credentials())
            except (OSError, ssl.SSLError):
                # The files are being replaced; the next round sees a pair.
                continue
            self._loaded_mtimes = stamp

    def _read_mtimes(self) -> tuple[int, ...]:
        paths = (self.certificate, self.key, self.authority)
        try:
            return tuple(path.stat().st_mtime_ns for path in paths)
        except OSError:
            return ()


def open_files(daemon_flags: flags.Flags) -> CertificateFiles | None:
    """Returns the files that the flags name, or None without TLS."""
    certificate = daemon_flags.tls_certificate
    key = daemon_flags.tls_key
    authority = daemon_flags.tls_authority
    if certificate is None or key is None or authority is None:
        return None
    return CertificateFiles(certificate, key, authority)
