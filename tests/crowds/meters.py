"""What a process holds: memory at its peak, descriptors, and files without a name."""

from __future__ import annotations

from pathlib import Path

KIB = 1024
MIB = 1024 * KIB
# What the smallest instance of the users' pages has.
INSTANCE_BYTES = 128 * MIB


def read_peak_bytes(pid: int) -> int:
    """Reads the most memory that a process has had, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * KIB
    raise ValueError(f"process {pid} shows no peak of memory")


def count_descriptors(pid: int) -> int:
    """Counts the descriptors that a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def measure_files(pid: int) -> int:
    """Adds up the files that a process has open below the temporary directory.

    They count as memory where an instance has no disk; most have no name any more.
    """
    total = 0
    for link in Path(f"/proc/{pid}/fd").iterdir():
        try:
            if str(link.readlink()).startswith("/tmp/"):
                total += link.stat().st_size
        except OSError:
            continue
    return total
