"""Odd content that another writer may leave, for tests of decoders."""

import msgspec
from hypothesis import strategies as st

DEPTH = 100_000
NESTED = b'[' * DEPTH + b']' * DEPTH
# JSON texts that no field of a stored row, heartbeat or job allows.
ODD_NUMBERS = [
    b'9' * 5000,
    b'9' * 400,
    str(2**64).encode(),
    b'-' + b'9' * 400,
    b'1e999',
    b'1e300',
    b'NaN',
    b'-1',
    b'"1"',
    b'[]',
    b'{}',
    NESTED,
]
# Bodies that are not of the expected form at all.
ODD_BODIES = [
    b'',
    b'{',
    b'null',
    b'[]',
    b'1e999',
    b'NaN',
    b'9' * 5000,
    b'\xff\xfe',
    b'"\\ud800"',
    b'\0',
    b'{"\xff":' + NESTED + b'}',
    NESTED,
    b'{"a":' * DEPTH,
]


def with_field(document, name, text):
    """Return a JSON object with the raw JSON text as one of its fields.

    A field that the document has is repeated, and the last one counts.
    """
    fields = msgspec.json.encode(document)[:-1]
    separator = b',' if document else b''
    return fields + separator + b'"%s":%s}' % (name.encode(), text)


def odd_versions(*documents):
    """Return a strategy of arbitrary bytes and of mutated valid documents."""
    valid = [msgspec.json.encode(document) for document in documents]
    return st.one_of(
        st.binary(max_size=200),
        st.sampled_from(ODD_BODIES),
        st.builds(
            _replace_bytes,
            st.sampled_from(valid),
            st.integers(0, 10_000),
            st.integers(0, 10),
            st.one_of(
                st.binary(max_size=10),
                st.sampled_from([*ODD_NUMBERS, b'"', b'\\ud800', b'\0']),
            ),
        ),
    )


def _replace_bytes(content, position, count, replacement):
    start = position % (len(content) + 1)
    return content[:start] + replacement + content[start + count :]
