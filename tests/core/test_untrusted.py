"""Decoding of what other processes have written."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dragonflynotch.core.untrusted import (
    Unreadable,
    decode_untrusted,
    parse_address,
)

DEPTH = 100_000


@pytest.mark.parametrize('decode', [json.loads, msgspec.json.decode])
@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'{',
        b'"\xff"',
        b'[' * DEPTH + b']' * DEPTH,
        b'9' * 5000,
    ],
)
def test_odd_content_does_not_raise(decode, content):
    """Guards against an odd entry that ends the process that reads it."""
    assert isinstance(decode_untrusted(decode, content), Unreadable)


def test_reason_has_a_limited_length():
    """Guards against a log that one long entry fills."""

    def decode(content):
        raise ValueError(content)

    unreadable = decode_untrusted(decode, 'x' * 1_000_000)
    assert unreadable.reason.startswith('ValueError: xxx')
    assert len(unreadable.reason) < 300


def test_faults_of_a_decoder_are_not_hidden():
    """Guards against a fault of this program that counts as an odd entry."""
    with pytest.raises(KeyError):
        decode_untrusted({}.__getitem__, b'absent')


@pytest.mark.parametrize(
    'text',
    [
        '',
        'nowhere',
        ':80',
        '10.0.0.1:',
        '10.0.0.1:0',
        '10.0.0.1:-1',
        '10.0.0.1:65536',
        '10.0.0.1:70000',
        '10.0.0.1:' + '9' * 5000,
        '10.0.0.1:\u0668\u0660',
        '10.0.0.1:80\n',
        'a b:80',
        'a\0b:80',
        '\ud800:80',
        'a/b:80',
        'x' * 300 + ':80',
    ],
)
def test_odd_address_is_refused(text):
    """Guards against addresses on which connecting raises."""
    assert parse_address(text) is None


@given(st.text(max_size=20), st.integers())
def test_address_is_refused_or_has_a_valid_port(host, port):
    """Guards against an address that a later step cannot use."""
    address = parse_address(f'{host}:{port}')
    assert address is None or (address == (host, port) and 0 < port < 65_536)


def test_addresses_are_parsed():
    """Guards against valid addresses that are refused."""
    assert parse_address('10.0.0.1:65535') == ('10.0.0.1', 65_535)
    assert parse_address('node-1.example:1') == ('node-1.example', 1)
    assert parse_address('::1:80') == ('::1', 80)
