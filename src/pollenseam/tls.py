"""TLS certificates of a VM, which are reloaded when their files change."""

import asyncio
import pathlib
import ssl

from pollenseam import flags
from pollenseam import peers

RELOAD_INTERVAL_SECONDS = 2.0


class CertificateFiles:
    """The PEM files with the certificates and the key of a VM.

    Attributes:
        certificate: File with the certificate chain of the VM.
        key: File with the private key of the VM.
        authority: File with the CA certificates that VMs trust.
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
        """Reads the files and returns their contents, for calls between VMs.

        Raises:
            OSError: A file cannot be read.
        """
        return peers.Credentials(
            self.certificate.read_bytes(),
            self.key.read_bytes(),
            self.authority.read_bytes(),
        )

    def server_context(self) -> ssl.SSLContext:
        """Returns the TLS context for the caller address.

        Raises:
            OSError: A file cannot be read.
            ssl.SSLError: The certificate and the key do not match, or one of
                them is invalid.
        """
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self.certificate, self.key)
        self._context = context
        return context

    async def watch(self, *peer_clients: peers.Client) -> None:
        """Checks the files periodically and reloads them when they change.

        Runs until cancelled.

        Args:
            *peer_clients: Clients whose credentials are replaced.
        """
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_SECONDS)
            mtimes = self._read_mtimes()
            if mtimes == self._loaded_mtimes:
                continue
            try:
                if self._context is not None:
                    self._context.load_cert_chain(self.certificate, self.key)
                for client in peer_clients:
                    await client.replace_credentials(self.credentials())
            except (OSError, ssl.SSLError):
                # The files may be in the middle of a replacement, so that key
                # and certificate do not match yet. The next round retries.
                continue
            self._loaded_mtimes = mtimes

    def _read_mtimes(self) -> tuple[int, ...]:
        paths = (self.certificate, self.key, self.authority)
        try:
            return tuple(path.stat().st_mtime_ns for path in paths)
        except OSError:
            return ()


def open_files(daemon_flags: flags.Flags) -> CertificateFiles | None:
    """Returns the certificate files that the flags name; None without TLS."""
    certificate = daemon_flags.tls_certificate
    key = daemon_flags.tls_key
    authority = daemon_flags.tls_authority
    if certificate is None or key is None or authority is None:
        return None
    return CertificateFiles(certificate, key, authority)
