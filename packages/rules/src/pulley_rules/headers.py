"""The header line of a stored file: its last writes and its revision offset.

The store numbers each write and never reuses a number during its lifetime, even
if the key is deleted or written by hand. A store that is set up anew counts from
1 again, so the header carries an offset that is added to the store's number.
"""

from dataclasses import dataclass

from .deltas import digest_text

HEADER_PREFIX = "#!"
MAX_NONCES = 8
MAX_NUMBER = 10**15


@dataclass(frozen=True, slots=True)
class Header:
    """The header that the operator's commands write above the rules.

    ``nonces`` identify the last writes, newest first. The revision is the store's
    number of the write plus ``offset``. In a file that an operator edits, ``base``
    is the store's number of the write that the edit started from and ``digest``
    the hexadecimal digest of the rules it started from.
    """

    nonces: tuple[str, ...] = ()
    offset: int = 0
    base: int = 0
    digest: str = ""


def split_header(text: str) -> tuple[Header, str]:
    """Return the header and the rules of a stored text; the header is optional."""
    first, _, body = text.partition("\n")
    if not first.startswith(HEADER_PREFIX):
        return Header(), text
    pairs = dict(
        word.partition("=")[::2] for word in first[len(HEADER_PREFIX) :].split()
    )
    nonces = tuple(nonce for nonce in pairs.get("nonces", "").split(",") if nonce)
    offset, base = (parse_number(pairs.get(name, "")) for name in ("offset", "base"))
    return Header(nonces[:MAX_NONCES], offset, base, pairs.get("digest", "")), body


def parse_number(text: str) -> int:
    """Parse a number of up to 16 digits, capped at ``MAX_NUMBER``, else return 0."""
    is_number = text.isascii() and text.isdigit() and len(text) <= 16
    return min(int(text), MAX_NUMBER) if is_number else 0


def join_header(header: Header, body: str) -> str:
    """Return the text to store: the header line and the rules.

    >>> join_header(Header(("ab",), 3), "team t  # a: b")
    '#! nonces=ab offset=3\\nteam t  # a: b'
    """
    nonces = ",".join(header.nonces[:MAX_NONCES])
    return f"{HEADER_PREFIX} nonces={nonces} offset={header.offset}\n{body}"


def join_edit_header(base: int, body: str) -> str:
    """Return the text for an operator to edit: the header line and the rules.

    >>> join_edit_header(7, "team t  # a: b")
    '#! base=7 digest=dfd0a0664eab7436a6ac868115f78118\\nteam t  # a: b'
    """
    return f"{HEADER_PREFIX} base={base} digest={digest_text(body).hex()}\n{body}"


def find_revision(text: str, mod_revision: int) -> int:
    """Return the revision of a stored text whose write has number ``mod_revision``."""
    return mod_revision + split_header(text)[0].offset


def find_mod_revision(text: str, revision: int) -> int:
    """Return the store's number of the write that stored ``text`` as ``revision``."""
    return revision - split_header(text)[0].offset
