"""Equal claims of clients and of their failure domains on the releases of a queue.

An instance does not know the failure domain of a client. The clients of one domain share
a block of addresses, so the block stands for it; where it does not, only the claims of
the client addresses differ. A surge of one domain then delays its own requests.
"""

from math import exp
from typing import NamedTuple, NewType

from cardamomtiller.forwarding.packet import PORT_BITS, ClientAddress

AddressBlock = NewType('AddressBlock', int)
# Share of a release below which it is forgotten.
MIN_WEIGHT = 0.05


class ClaimOptions(NamedTuple):
    """
    How releases count against later ones.

    Attributes
    ----------
    block_bits
        Bits of a client address below those that its failure domain has in common.
    decay_ms
        Time constant: a release counts 1/e of its weight after this time.
    """

    block_bits: int
    decay_ms: float


class Claims:
    """Recent releases of each client address and block, with exponential decay."""

    def __init__(self, options: ClaimOptions) -> None:
        """Start without any release."""
        self._options = options
        self._recent: dict[AddressBlock, float] = {}
        self._decayed_ms: float | None = None

    def record_release(self, client: ClientAddress, now_ms: float) -> None:
        """Count the release of a packet of a client."""
        self._decay(now_ms)
        for block in self._blocks(client):
            self._recent[block] = self._recent.get(block, 0) + 1

    def rank(self, client: ClientAddress) -> tuple[float, float]:
        """Return the recent releases of a client's block and address; least goes first."""
        block, host = self._blocks(client)
        return self._recent.get(block, 0), self._recent.get(host, 0)

    def _blocks(self, client: ClientAddress) -> tuple[AddressBlock, AddressBlock]:
        """Return keys of the block and of the address, which never are equal."""
        host = client >> PORT_BITS
        return AddressBlock(-1 - (host >> self._options.block_bits)), AddressBlock(host)

    def _decay(self, now_ms: float) -> None:
        # Entries are dropped when they weigh little, so their number stays bounded.
        if self._decayed_ms is not None:
            factor = exp((self._decayed_ms - now_ms) / self._options.decay_ms)
            self._recent = {
                block: weight * factor
                for block, weight in self._recent.items()
                if weight * factor > MIN_WEIGHT
            }
        self._decayed_ms = now_ms


DEFAULT_CLAIMS = ClaimOptions(block_bits=16, decay_ms=1000.0)
