"""Settings file of the platform: lines of the form ``a.b=value``."""

from dataclasses import dataclass
from pathlib import Path

from dragonflynotch.core.errors import InvalidInputError

__all__ = (
    'SETTINGS_VARIABLE',
    'Address',
    'Bounds',
    'PlatformSettings',
    'load_settings',
)

Address = tuple[str, int]
SETTINGS_VARIABLE = 'DRAGONFLYNOTCH_SETTINGS'
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the deployment, in milliseconds.

    Parameters
    ----------
    minion_lease_ms : int
        Longest lease that a minion accepts (``hold_max_ms``).
    stop_ms : int
        Longest time that a minion takes to stop a run.
    termination_ms : int
        Time between SIGTERM and SIGKILL (``grace_s``).
    keep_state_ms : int
        How long the state of an ended job is asked for (``status_s``).
    far_factor : float
        How much longer a task takes away from its rack (``far_x``).
    """

    minion_lease_ms: int
    stop_ms: int
    termination_ms: int
    keep_state_ms: int
    far_factor: float


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Checked settings of one process.

    Parameters
    ----------
    front, ready, control : tuple of (str, int) or None
        Addresses to listen on for callers, readiness checks and the minion.
    minion : tuple of (str, int) or None
        Address of the minion on this machine.
    store : tuple of (str, int)
        Address of the metadata store.
    metrics : tuple of (str, int)
        Address of the metrics.
    """

    node: str
    store: Address
    metrics: Address
    bounds: Bounds
    front: Address | None = None
    ready: Address | None = None
    control: Address | None = None
    minion: Address | None = None
    service: str = ''


def load_settings(path: Path) -> PlatformSettings:
    """Read and check a settings file; unknown fields are ignored.

    Raises
    ------
    InvalidInputError
        If a field is missing or malformed.
    """
    fields = dict(
        line.split('=', 1)
        for line in path.read_text().splitlines()
        if '=' in line
    )
    return _Reader(fields).settings()


class _Reader:
    def __init__(self, fields: dict[str, str]) -> None:
        self._fields = fields

    def settings(self) -> PlatformSettings:
        first_port = self._text('port_range').partition(',')[0]
        return PlatformSettings(
            node=self._text('node'),
            store=self._required_address('platform.address'),
            metrics=(self._text('ip'), self._parse(int, 'port', first_port)),
            bounds=Bounds(
                minion_lease_ms=self._number('bounds.hold_max_ms', 6000),
                stop_ms=self._number('bounds.stop_ms', 400),
                termination_ms=self._number('bounds.grace_s', 6, _MS_PER_S),
                keep_state_ms=self._number('bounds.status_s', 120, _MS_PER_S),
                far_factor=self._parse(
                    float, 'bounds.far_x', self._fields.get('bounds.far_x', '3')
                ),
            ),
            front=self._address('listen.front'),
            ready=self._address('listen.ready'),
            control=self._address('listen.control'),
            minion=self._address('app'),
            service=self._fields.get('service', ''),
        )

    def _text(self, name: str) -> str:
        text = self._fields.get(name, '')
        if not text:
            raise _invalid(name, text, 'a value')
        return text

    def _number(self, name: str, default: float, factor: int = 1) -> int:
        text = self._fields.get(name, str(default))
        return int(self._parse(float, name, text) * factor)

    def _parse(self, convert: type, name: str, text: str):  # type: ignore[no-untyped-def]
        try:
            return convert(text)
        except ValueError as error:
            raise _invalid(name, text, convert.__name__) from error

    def _address(self, name: str) -> Address | None:
        text = self._fields.get(name, '')
        if not text:
            return None
        host, _, port = text.rpartition(':')
        return host, self._parse(int, name, port)

    def _required_address(self, name: str) -> Address:
        address = self._address(name)
        if address is None:
            raise _invalid(name, '', 'an address')
        return address


def _invalid(name: str, text: str, expected: str) -> InvalidInputError:
    return InvalidInputError(name, text, expected)
