"""Guards against a TLS certificate that takes effect only after a restart."""

import datetime

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

RELOAD_CERTIFICATE = """
    import socket, ssl, threading
    from klein import Klein
    from mustardtrack.adapters.klein_server import LimitedSite, add_route, listen
    from mustardtrack.settings import TlsFiles

    folder = sys.argv[1]

    def read_name(port):
        context = ssl.create_default_context()
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        with socket.create_connection(("127.0.0.1", port), timeout=10) as plain:
            with context.wrap_socket(plain) as secure:
                secure.sendall(b"GET / HTTP/1.0\\r\\n\\r\\n")
                body = b""
                while data := secure.recv(4096):
                    body += data
                return secure.getpeercert(True), body

    async def main():
        app = Klein()

        async def answer(request):
            return b"whole"

        add_route(app, "/", answer)
        site = LimitedSite(app.resource(), 5000, 10, 100)
        files = TlsFiles(
            certificate_file=folder + "/cert.pem", key_file=folder + "/key.pem"
        )
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        _, factory = listen(site, f"127.0.0.1:{port}", files)
        loop = asyncio.get_running_loop()
        first, body = await loop.run_in_executor(None, read_name, port)
        for name in ("cert", "key"):
            with open(f"{folder}/{name}.new", "rb") as new:
                data = new.read()
            with open(f"{folder}/{name}.pem", "wb") as old:
                old.write(data)
        factory.reload()
        second, _ = await loop.run_in_executor(None, read_name, port)
        with open(folder + "/key.pem", "wb") as broken:
            broken.write(b"not a key")
        try:
            factory.reload()
        except Exception:
            refused = True
        else:
            refused = False
        third, _ = await loop.run_in_executor(None, read_name, port)
        return [body.endswith(b"whole"), first != second, refused, second == third]

    run(main)
"""


def write_certificate_and_key(certificate_path, key_path, name):
    """Write a self-signed certificate and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=3650))
        .sign(key, hashes.SHA256())
    )
    certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


def test_certificate_is_reloaded_without_a_restart(run_on_reactor, tmp_path):
    write_certificate_and_key(tmp_path / "cert.pem", tmp_path / "key.pem", "first")
    write_certificate_and_key(tmp_path / "cert.new", tmp_path / "key.new", "second")
    result = run_on_reactor(RELOAD_CERTIFICATE, str(tmp_path))
    assert result == [True, True, True, True]
