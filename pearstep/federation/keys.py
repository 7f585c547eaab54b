"""Keys of a site: an authority of its own, certificates for its nodes, and the authorities of its peers.

A folder holds ``authority.pem`` and ``authority.key``; ``issued/SERIAL.pem`` and ``.key``; ``current.pem``
and ``current.key``, which the link uses; ``revoked.pem`` (a list of revoked certificates, signed);
``trusted/NAME.pem``, the authority of the peer NAME, with ``trusted/NAME.crl`` once that peer has revoked
a certificate. A peer is identified by the name in its certificate, which only the authority that is trusted
under that name may issue.
"""

from __future__ import annotations

import datetime as dt
import os
import re
import ssl
from pathlib import Path

import msgspec
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

NAME = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
AUTHORITY_DAYS = 3650
DOMAIN = ".pearstep.internal"


SIGNS_ONLY = x509.KeyUsage(
    digital_signature=False,
    content_commitment=False,
    key_encipherment=False,
    data_encipherment=False,
    key_agreement=False,
    key_cert_sign=True,
    crl_sign=True,
    encipher_only=False,
    decipher_only=False,
)


class SiteKeyError(Exception):
    """A key or a folder of keys is invalid; the text is one line and says what to do."""


class Issued(msgspec.Struct):
    """A certificate as it is shown to operators."""

    serial: str
    name: str
    not_before: str
    not_after: str
    days_left: float
    state: str  # current, earlier, revoked, expired


def _now() -> dt.datetime:
    return dt.datetime.now(dt.UTC)


def _write(path: Path, data: bytes, secret: bool = False) -> None:
    """Write a file atomically; a secret is readable by its owner only from its creation on."""
    temporary_path = path.with_name(path.name + ".new")
    temporary_path.unlink(missing_ok=True)
    fd = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600 if secret else 0o644)
    with os.fdopen(fd, "wb") as out:
        out.write(data)
        out.flush()
        os.fsync(out.fileno())
    os.replace(temporary_path, path)


def _pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


class Keys:
    """The folder of one site's keys."""

    def __init__(self, root: str | Path) -> None:
        """Use the folder at ``root``, which need not exist yet."""
        self.root = Path(root)

    @classmethod
    def init(cls, root: str | Path, name: str) -> Keys:
        """Create a site's authority.

        A folder that has one is left as it is: a second one would end the trust of all peers.
        """
        keys = cls(root)
        if not NAME.match(name):
            raise SiteKeyError(f"{name!r}: a site's name has a-z, 0-9 and -")
        if (keys.root / "authority.pem").exists():
            raise SiteKeyError(f"{keys.root} has an authority already; use `pearstep keys issue`")
        (keys.root / "issued").mkdir(parents=True, exist_ok=True)
        (keys.root / "trusted").mkdir(exist_ok=True)
        key = ec.generate_private_key(ec.SECP256R1())
        subject = _subject(name, "authority")
        now = _now()
        cert = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - dt.timedelta(minutes=5))
            .not_valid_after(now + dt.timedelta(days=AUTHORITY_DAYS))
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
            .add_extension(SIGNS_ONLY, critical=True)
            .sign(key, hashes.SHA256())
        )
        _write(keys.root / "authority.key", _pem(key), secret=True)
        _write(keys.root / "authority.pem", cert.public_bytes(serialization.Encoding.PEM))
        keys._write_revoked([])
        return keys

    @property
    def authority(self) -> x509.Certificate:
        """This site's authority."""
        try:
            return x509.load_pem_x509_certificate((self.root / "authority.pem").read_bytes())
        except FileNotFoundError:
            raise SiteKeyError(
                f"{self.root} has no authority; make one with `pearstep keys init NAME`"
            ) from None

    @property
    def site(self) -> str:
        """This site's name."""
        return _common_name(self.authority)

    def _key(self) -> ec.EllipticCurvePrivateKey:
        key = serialization.load_pem_private_key((self.root / "authority.key").read_bytes(), None)
        assert isinstance(key, ec.EllipticCurvePrivateKey)
        return key

    def issue(self, days: float = 90.0, now: dt.datetime | None = None) -> Issued:
        """Issue a certificate for this site's end of its links, used from the next handshake on.

        Earlier certificates stay valid until they expire or are revoked, so that no link is interrupted.
        """
        authority, signer = self.authority, self._key()
        key = ec.generate_private_key(ec.SECP256R1())
        begin = now or _now()
        issuer = x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key())
        cert = (
            x509.CertificateBuilder()
            .subject_name(_subject(self.site, "link"))
            .issuer_name(authority.subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(begin - dt.timedelta(minutes=5))
            .not_valid_after(begin + dt.timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName([x509.DNSName(self.site + DOMAIN)]), critical=False)
            .add_extension(issuer, critical=False)
            .add_extension(
                x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]),
                critical=True,
            )
            .sign(signer, hashes.SHA256())
        )
        serial = f"{cert.serial_number:x}"
        pem = cert.public_bytes(serialization.Encoding.PEM)
        _write(self.root / "issued" / f"{serial}.key", _pem(key), secret=True)
        _write(self.root / "issued" / f"{serial}.pem", pem)
        # Key and certificate are in one file, so that they are replaced together.
        _write(self.root / "current.pem", pem + _pem(key), secret=True)
        return next(i for i in self.show() if i.serial == serial)

    def revoke(self, serial: str) -> None:
        """Revoke a certificate for good; peers read this from the site's list, `trusted/NAME.crl`."""
        path = self.root / "issued" / f"{serial}.pem"
        if not re.fullmatch(r"[0-9a-f]+", serial) or not path.exists():
            raise SiteKeyError(f"no certificate {serial} was issued here; see `pearstep keys show`")
        self._write_revoked(sorted({*self._revoked(), int(serial, 16)}))

    def _revoked(self) -> list[int]:
        crl = x509.load_pem_x509_crl((self.root / "revoked.pem").read_bytes())
        return [revoked.serial_number for revoked in crl]

    def _write_revoked(self, serials: list[int]) -> None:
        now = _now()
        builder = (
            x509.CertificateRevocationListBuilder()
            .issuer_name(self.authority.subject)
            .last_update(now - dt.timedelta(minutes=5))
            .next_update(now + dt.timedelta(days=AUTHORITY_DAYS))
        )
        for serial in serials:
            builder = builder.add_revoked_certificate(
                x509.RevokedCertificateBuilder().serial_number(serial).revocation_date(now).build()
            )
        crl = builder.sign(self._key(), hashes.SHA256())
        _write(self.root / "revoked.pem", crl.public_bytes(serialization.Encoding.PEM))

    def trust(self, name: str, authority: bytes, revoked: bytes | None = None) -> None:
        """Accept a peer's authority, and its list of revoked certificates, under the peer's name.

        A list that the authority did not sign, or that is older than the stored one, is refused.
        """
        try:
            cert = x509.load_pem_x509_certificate(authority)
        except ValueError as err:
            raise SiteKeyError(f"{name}: not a certificate: {err}") from None
        if _common_name(cert) != name:
            raise SiteKeyError(f"this is the authority of {_common_name(cert)!r}, not of {name!r}")
        if name == self.site:
            raise SiteKeyError(f"{name!r} is this site's own name")
        trusted_path = self.root / "trusted" / f"{name}.pem"
        if trusted_path.exists() and x509.load_pem_x509_certificate(trusted_path.read_bytes()) != cert:
            raise SiteKeyError(
                f"another authority is trusted as {name}; `pearstep keys distrust {name}` first"
            )
        if revoked is not None:
            self._store_revocation_list(name, cert, revoked)
        _write(trusted_path, authority)

    def _store_revocation_list(self, name: str, cert: x509.Certificate, revoked: bytes) -> None:
        crl = x509.load_pem_x509_crl(revoked)
        public_key = cert.public_key()
        assert isinstance(public_key, ec.EllipticCurvePublicKey)
        if not crl.is_signature_valid(public_key):
            raise SiteKeyError(f"{name}: this list was not signed by its authority")
        path = self.root / "trusted" / f"{name}.crl"
        if path.exists():
            old = x509.load_pem_x509_crl(path.read_bytes())
            if old.last_update_utc > crl.last_update_utc:
                raise SiteKeyError(f"{name}: a newer list is known")
        _write(path, revoked)

    def distrust(self, name: str) -> None:
        """Stop trusting the peer of this name."""
        for suffix in (".pem", ".crl"):
            (self.root / "trusted" / f"{name}{suffix}").unlink(missing_ok=True)

    def peers(self) -> list[str]:
        """Return the names of the peers whose authority is trusted."""
        return sorted(p.stem for p in (self.root / "trusted").glob("*.pem"))

    def show(self) -> list[Issued]:
        """Return all certificates of this site, the newest first."""
        now, revoked = _now(), set(self._revoked())
        current = self._current()
        out = []
        for path in (self.root / "issued").glob("*.pem"):
            cert = x509.load_pem_x509_certificate(path.read_bytes())
            days_left = (cert.not_valid_after_utc - now).total_seconds() / 86_400
            state = "earlier"
            if cert.serial_number in revoked:
                state = "revoked"
            elif days_left <= 0:
                state = "expired"
            elif cert.serial_number == current:
                state = "current"
            out.append(
                Issued(
                    f"{cert.serial_number:x}",
                    self.site,
                    cert.not_valid_before_utc.isoformat(),
                    cert.not_valid_after_utc.isoformat(),
                    round(days_left, 2),
                    state,
                )
            )
        return sorted(out, key=lambda i: i.not_before, reverse=True)

    def _current(self) -> int:
        path = self.root / "current.pem"
        return x509.load_pem_x509_certificate(path.read_bytes()).serial_number if path.exists() else 0

    def warnings(self, days: float = 14.0) -> list[str]:
        """Return warnings on certificates that are invalid or expire soon."""
        out = []
        current = next((i for i in self.show() if i.serial == f"{self._current():x}"), None)
        if current is None or current.state in ("expired", "revoked"):
            reason = current.state if current else "none issued"
            out.append(f"no valid certificate ({reason}): `pearstep keys rotate`")
        elif current.days_left < days:
            out.append(f"the certificate ends in {current.days_left:.1f} days: `pearstep keys rotate`")
        for name in self.peers():
            cert = x509.load_pem_x509_certificate((self.root / "trusted" / f"{name}.pem").read_bytes())
            days_left = (cert.not_valid_after_utc - _now()).total_seconds() / 86_400
            if days_left < 4 * days:
                out.append(f"the authority of {name} ends in {days_left:.0f} days: ask for its next one")
        return out

    # -- links -----------------------------------------------------------------------------------

    def context(self, server: bool, peer: str = "") -> ssl.SSLContext:
        """Make the TLS context for one end of a link: TLS 1.3, with certificates on both sides.

        A client trusts the authority of the one peer that it connects to. A server trusts those of all peers,
        and identifies the client with ``peer_of``.
        """
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = not server
        context.verify_mode = ssl.CERT_REQUIRED
        current = self.root / "current.pem"
        if not current.exists():
            raise SiteKeyError(f"{self.root} has no certificate; make one with `pearstep keys issue`")
        context.load_cert_chain(current)
        names = [peer] if peer else self.peers()
        if not names or any(n not in self.peers() for n in names):
            raise SiteKeyError(f"no authority is trusted as {peer or 'any peer'}; use `pearstep keys trust`")
        for name in names:
            context.load_verify_locations(self.root / "trusted" / f"{name}.pem")
        lists = [self.root / "trusted" / f"{n}.crl" for n in names]
        if all(path.exists() for path in lists):
            for path in lists:
                context.load_verify_locations(path)
            context.verify_flags |= ssl.VERIFY_CRL_CHECK_LEAF
        return context

    def peer_of(self, certificate: bytes) -> str:
        """Identify the peer that presented this certificate (DER) in a handshake.

        Raises:
            SiteKeyError: The name is not that of a peer, the certificate was not issued by the authority that
                is trusted under this name, or it is revoked.
        """
        cert = x509.load_der_x509_certificate(certificate)
        name = _common_name(cert)
        if name not in self.peers():
            raise SiteKeyError(f"{name!r} is not a peer of this site")
        authority = x509.load_pem_x509_certificate((self.root / "trusted" / f"{name}.pem").read_bytes())
        try:
            cert.verify_directly_issued_by(authority)
        except Exception:
            raise SiteKeyError(f"this certificate of {name!r} was not issued by its authority") from None
        path = self.root / "trusted" / f"{name}.crl"
        if path.exists():
            crl = x509.load_pem_x509_crl(path.read_bytes())
            if crl.get_revoked_certificate_by_serial_number(cert.serial_number) is not None:
                raise SiteKeyError(f"this certificate of {name!r} is revoked")
        return name


def _subject(name: str, unit: str) -> x509.Name:
    """Make the subject of a certificate; authority and links of a site have different ones.

    A certificate whose issuer equals its subject counts as self-signed, and is refused.
    """
    return x509.Name(
        [
            x509.NameAttribute(NameOID.COMMON_NAME, name),
            x509.NameAttribute(NameOID.ORGANIZATIONAL_UNIT_NAME, unit),
        ]
    )


def _common_name(cert: x509.Certificate) -> str:
    attributes = cert.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    return str(attributes[0].value) if attributes else ""


def server_name(peer: str) -> str:
    """Return the host name that a peer's certificate must have."""
    return peer + DOMAIN
