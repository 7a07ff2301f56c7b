"""Entries as processes, started with the command and template of the deploy file."""

from __future__ import annotations

import asyncio
import os
import re
import socket
import subprocess
import time
import tomllib
from pathlib import Path

from rig2.wire import BROKEN, HOST, find_free_port, make_message

ROOT = Path(__file__).resolve().parents[2]
READY_PATH = "/-/readyz"
START_LIMIT_S = 30.0
BOUNDS = {
    "revoke_ms": 5000,
    "grace_s": 8,
    "exposure_share": 0.1,
    "exposure_extra": 50,
    "budget_ratio": 0.8,
    "budget_extra": 150,
    "budget_window_s": 10,
    "drain_ms": 2000,
}


class CaseCantRunError(Exception):
    """Something that the case needs isn't there."""


class Entry:
    """One process of the entry role."""

    def __init__(self, name: str, zone: str, folder: Path, store_port: int) -> None:
        self.name = name
        self.port = find_free_port()
        self.ready_port = find_free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = folder
        self._fields = {
            "node": name,
            "zone": zone,
            "ip": HOST,
            "listen.front": f"{HOST}:{self.port}",
            "listen.ready": f"{HOST}:{self.ready_port}",
            "port_range.0": str(find_free_port(socket.SOCK_DGRAM)),
            "provider.address": f"{HOST}:{store_port}",
            "limits.link_mbps": "1000.0",
            **{f"bounds.{key}": str(value) for key, value in BOUNDS.items()},
        }

    def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        if not (ROOT / "target/deps/magnoliahold").is_dir():
            raise CaseCantRunError("run the build of deploy/system.toml first")
        settings = self._folder / f"{self.name}.yaml"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(self._fill(template))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["MAGNOLIAHOLD_BOOT"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def _fill(self, template: str) -> str:
        # The machines of a case share one address: each needs its own metrics port.
        text = template.replace("{{ip}}:9464", f"{HOST}:{find_free_port()}")
        return re.sub(r"{{([\w.]+)}}", lambda match: self._fields[match[1]], text)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Asks the process whether it is ready."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
            head = {"Host": self.name, "Connection": "close"}
            writer.write(make_message(f"GET {READY_PATH} HTTP/1.1", head))
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (*BROKEN, TimeoutError):
            return False
        return b" 200 " in line

    async def await_ready(self) -> None:
        """Waits until the process is ready."""
        until = time.monotonic() + START_LIMIT_S
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CaseCantRunError(f"{self.name} doesn't get ready")
            await asyncio.sleep(0.1)
