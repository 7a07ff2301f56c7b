"""Collects a body from parts of any size, in little more memory than its bytes."""

from __future__ import annotations

from attrs import define, field

# Smaller parts are joined to blocks of at least this length.
MIN_BLOCK_BYTES = 32 * 1024


@define(eq=False)
class BodyBuffer:
    """A body that arrives in parts.

    Large parts are kept as they come: one buffer that grows would be moved in memory
    again and again, and those of many bodies at once leave holes there.
    """

    _blocks: list[bytes] = field(factory=list)
    _block_bytes: int = 0
    _tail: bytearray = field(factory=bytearray)

    def __len__(self) -> int:
        """Counts the bytes of the body."""
        return self._block_bytes + len(self._tail)

    def add(self, data: bytes) -> None:
        """Adds a part at the end."""
        if self._tail or len(data) < MIN_BLOCK_BYTES:
            self._tail += data
            if len(self._tail) < MIN_BLOCK_BYTES:
                return
            data = bytes(self._tail)
            self._tail.clear()
        self._blocks.append(data)
        self._block_bytes += len(data)

    def join(self) -> bytes:
        """Returns the whole body."""
        return b"".join((*self._blocks, self._tail))

    def clear(self) -> None:
        """Frees what was collected."""
        self._blocks.clear()
        self._block_bytes = 0
        self._tail.clear()
