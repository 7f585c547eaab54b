"""Keys of sites: which peers a TLS handshake accepts and refuses, by whole handshakes in memory."""

import datetime as dt
import ssl

import pytest
from click.testing import CliRunner
from cryptography import x509

from pearstep.cli.main import main
from pearstep.federation.keys import Keys, SiteKeyError, server_name


def site(root, name):
    keys = Keys.init(root / name, name)
    keys.issue()
    return keys


def trust(own_keys, peer_keys):
    own_keys.trust(
        peer_keys.site,
        (peer_keys.root / "authority.pem").read_bytes(),
        (peer_keys.root / "revoked.pem").read_bytes(),
    )


def handshake(client, server, name="", versions=None):
    """Run a handshake in memory; return the client's certificate (DER). Raises ssl.SSLError."""
    client_in, client_out, server_in, server_out = (ssl.MemoryBIO() for _ in range(4))
    if versions:
        client.minimum_version, client.maximum_version = versions
    client_end = client.wrap_bio(client_in, client_out, server_hostname=name or None)
    server_end = server.wrap_bio(server_in, server_out, server_side=True)
    completed = set()
    for _ in range(10):
        for end, out, to in ((client_end, client_out, server_in), (server_end, server_out, client_in)):
            if end not in completed:
                try:
                    end.do_handshake()
                    completed.add(end)
                except ssl.SSLWantReadError:
                    pass
            to.write(out.read())
    assert len(completed) == 2
    # In TLS 1.3 the client finds out only by reading whether the server accepted its certificate.
    server_end.write(b"hello")
    client_in.write(server_out.read())
    assert client_end.read(5) == b"hello"
    return server_end.getpeercert(binary_form=True)


@pytest.fixture
def pair(tmp_path):
    a, b = site(tmp_path, "nyarugenge"), site(tmp_path, "huye")
    trust(a, b)
    trust(b, a)
    return a, b


def test_peers_that_trust_each_other_are_identified(pair):
    a, b = pair
    der = handshake(a.context(False, "huye"), b.context(True), server_name("huye"))
    assert b.peer_of(der) == "nyarugenge"


def test_rotation_keeps_links_open_and_revocation_refuses_the_old_certificate(pair):
    a, b = pair
    before = a.context(False, "huye")
    old, new = a.show()[0], a.issue()
    assert [i.state for i in sorted(a.show(), key=lambda i: i.state)] == ["current", "earlier"]
    for context in (before, a.context(False, "huye")):
        assert b.peer_of(handshake(context, b.context(True), server_name("huye"))) == "nyarugenge"
    a.revoke(old.serial)
    trust(b, a)
    assert handshake(a.context(False, "huye"), b.context(True), server_name("huye"))
    with pytest.raises(ssl.SSLError):
        handshake(before, b.context(True), server_name("huye"))
    assert new.serial in {i.serial for i in a.show() if i.state == "current"}
    # An older list doesn't replace a newer one, and a list that another authority signed is refused.
    crl = (b.root / "revoked.pem").read_bytes()
    with pytest.raises(SiteKeyError, match="not signed"):
        b.trust("nyarugenge", (a.root / "authority.pem").read_bytes(), crl)


def test_expired_wrong_and_unknown_peers_are_refused(pair, tmp_path):
    a, b = pair
    a.issue(days=1, now=dt.datetime.now(dt.UTC) - dt.timedelta(days=2))
    with pytest.raises(ssl.SSLError):
        handshake(a.context(False, "huye"), b.context(True), server_name("huye"))
    assert a.show()[-1].state == "expired" and "keys rotate" in a.warnings()[0]
    a.issue(days=5)
    assert "ends in" in a.warnings()[0]
    stranger = site(tmp_path, "stranger")
    trust(stranger, b)
    with pytest.raises(ssl.SSLError):
        handshake(stranger.context(False, "huye"), b.context(True), server_name("huye"))
    # The link is meant for one peer, and another trusted peer answers.
    third = site(tmp_path, "third")
    trust(a, third)
    trust(third, a)
    with pytest.raises(ssl.SSLError):
        handshake(a.context(False, "huye"), third.context(True), server_name("huye"))


def test_a_peer_cannot_use_the_name_of_another(pair, tmp_path):
    """Two authorities are trusted; the one of `third` signs a certificate that names `nyarugenge`."""
    a, b = pair
    third = site(tmp_path, "third")
    trust(b, third)
    forged = Keys.init(tmp_path / "forged", "nyarugenge")
    (forged.root / "authority.key").write_bytes((third.root / "authority.key").read_bytes())
    forged.issue()
    der = x509.load_pem_x509_certificate((forged.root / "current.pem").read_bytes())
    from cryptography.hazmat.primitives.serialization import Encoding

    with pytest.raises(SiteKeyError, match="not issued by its authority"):
        b.peer_of(der.public_bytes(Encoding.DER))
    b.distrust("nyarugenge")
    with pytest.raises(SiteKeyError, match="not a peer"):
        b.peer_of(der.public_bytes(Encoding.DER))


def test_older_versions_of_tls_and_peers_without_a_certificate_are_refused(pair):
    a, b = pair
    with pytest.raises((ssl.SSLError, ValueError)):
        old = ssl.TLSVersion.TLSv1_2
        handshake(a.context(False, "huye"), b.context(True), server_name("huye"), (old, old))
    bare = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    bare.load_verify_locations(a.root / "trusted" / "huye.pem")
    with pytest.raises(ssl.SSLError):
        handshake(bare, b.context(True), server_name("huye"))


def test_errors_name_the_invalid_site_authority_or_folder(pair, tmp_path):
    a, b = pair
    with pytest.raises(SiteKeyError, match="has an authority"):
        Keys.init(a.root, "nyarugenge")
    with pytest.raises(SiteKeyError, match="not of 'other'"):
        a.trust("other", (b.root / "authority.pem").read_bytes())
    with pytest.raises(SiteKeyError, match="another authority"):
        a.trust("huye", (Keys.init(tmp_path / "x", "huye").root / "authority.pem").read_bytes())
    with pytest.raises(SiteKeyError, match="keys trust"):
        a.context(False, "third")
    with pytest.raises(SiteKeyError, match="no authority"):
        Keys(tmp_path / "none").show() if (tmp_path / "none").exists() else Keys(tmp_path / "none").authority
    assert (a.root / "authority.key").stat().st_mode & 0o077 == 0
    assert (a.root / "current.pem").stat().st_mode & 0o077 == 0


def test_the_commands_init_trust_issue_rotate_and_show_keys(tmp_path):
    run = CliRunner()

    def keys(*args, code=0):
        result = run.invoke(main, ["keys", *args])
        assert result.exit_code == code, result.output
        return result.output

    first_folder, second_folder = str(tmp_path / "one"), str(tmp_path / "two")
    keys("init", "one", "--keys", first_folder)
    keys("init", "two", "--keys", second_folder)
    keys(
        "trust",
        "two",
        f"{second_folder}/authority.pem",
        "--revoked",
        f"{second_folder}/revoked.pem",
        "--keys",
        first_folder,
    )
    old = keys("issue", "--keys", first_folder).split()[0]
    keys("rotate", "--revoke", "--keys", first_folder)
    shown = keys("show", "--keys", first_folder)
    assert f"{old}  revoked" in shown and "peers: two" in shown and shown.count("current") == 1
    assert "has an authority already" in keys("init", "one", "--keys", first_folder, code=2)
    assert "no certificate" in keys("revoke", "abc", "--keys", first_folder, code=2)
    assert '"peers":[]' in keys("show", "--keys", second_folder, "--output", "json")
