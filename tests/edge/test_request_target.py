"""Request targets: what a server receives of them, and the path by which they are routed."""

import pytest

from kestrelplank.edge.request_target import origin_form, path_of
from kestrelplank.forwarding.errors import BadRequestError

HOST = b"shop.example"


@pytest.mark.parametrize("target", [b"/", b"/a?", b"/a?b?c", b"/a#f?q", b"//a/../b", b"/%2f%zz", b"*", b"/http://x/"])
def test_an_origin_form_target_is_passed_on_as_it_came(target):
    assert origin_form(target, HOST) == target


@pytest.mark.parametrize(
    "target, host, expected",
    [
        (b"http://shop.example/a?b", HOST, b"/a?b"),
        (b"HTTP://Shop.Example/a?", b"shop.eXample:80", b"/a?"),
        (b"http://shop.example:80/a", HOST, b"/a"),
        (b"https://shop.example/a", b"shop.example:443", b"/a"),
        (b"http://shop.example:8080/a", b"shop.example:8080", b"/a"),
        (b"http://[::1]:80/a", b"[::1]", b"/a"),
        (b"http://shop.example//a", HOST, b"//a"),
        (b"http://shop.example", HOST, b"/"),
        (b"http://shop.example?b", HOST, b"/?b"),
    ],
)
def test_an_absolute_target_is_passed_on_without_its_origin(target, host, expected):
    assert origin_form(target, host) == expected


# Guards against a target for one host that runs by the routes of another (RFC 9112, section 3.2.2).
@pytest.mark.parametrize(
    "target, host",
    [
        (b"http://pay.example/a", HOST),
        (b"http://shop.example:8080/a", HOST),
        (b"https://shop.example/a", b"shop.example:80"),
        (b"http://me@shop.example/a", HOST),
        (b"http://me@shop.example/a", b"me@shop.example"),
        (b"http:///a", b""),
        (b"http://shop.example/a", b""),
        (b"ftp://shop.example/a", HOST),
        (b"shop.example:80", HOST),
    ],
)
def test_a_target_for_another_authority_is_refused(target, host):
    with pytest.raises(BadRequestError):
        origin_form(target, host)


@pytest.mark.parametrize(
    "target, path",
    [(b"/a/b?c/d", "/a/b"), (b"/a#/b?c", "/a"), (b"/a?b#c", "/a"), (b"/%61?", "/%61"), (b"*", "*"), (b"/", "/")],
)
def test_path_ends_before_query_and_fragment_and_is_not_decoded(target, path):
    assert path_of(target) == path
