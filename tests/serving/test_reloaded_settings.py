"""Tests that reloaded settings take effect at once in a running entry."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import TYPE_CHECKING, Any

from magnoliahold.logs import ROOT_NAME
from magnoliahold.serving.daemon import reload_settings
from magnoliahold.settings.loading import parse_serving_settings
from tests.loopback import on_loopback
from tests.serving.test_daemon import DaemonTestCase, FakeStore
from tests.serving.test_exchanges import WHOLE

if TYPE_CHECKING:
    from magnoliahold.serving.daemon import ServingDaemon

# Well below the shortest wait of a long poll, which is 1.4 s.
AT_ONCE_S = 0.8


class ReloadedSettingsTests(DaemonTestCase):
    def reload(self, daemon: ServingDaemon, **changes: Any) -> None:
        """Applies settings of which some have changed."""
        changed = {**self.settings, **changes}
        reload_settings(Path(), lambda _: parse_serving_settings(changed), daemon)

    # Failure: after SIGHUP, polls went on for up to 20 s at the store's old address.
    @on_loopback
    async def test_new_address_of_the_store_is_followed_at_once(self) -> None:
        daemon = await self.start([WHOLE])
        tables = {"op", "servers", "magnoliahold-entries"}
        await self.wait_until(lambda: {name for name, _ in self.store.polls} >= tables)
        other = FakeStore()
        other.rows = {name: dict(rows) for name, rows in self.store.rows.items()}
        other.version = self.store.version
        address = self.serve(other).address.removeprefix("http://")
        self.reload(daemon, store=address)
        await self.sleep(AT_ONCE_S)
        self.assertEqual({name for name, _ in other.polls}, tables)
        record = {"service": "s-1", "address": "127.0.0.1:1", "zone": "z-9"}
        other.put("servers", "i-9", {**record, "state": "ready"})
        await self.wait_until(lambda: "i-9" in daemon.node.world.upstreams.by_id)

    @on_loopback
    async def test_polls_go_on_where_the_store_stays(self) -> None:
        daemon = await self.start([WHOLE])
        feeds = daemon.node.world.feeds.values()
        calls = [state.call for state in feeds]
        self.reload(daemon, bounds={"retry_ratio": 0.1})
        self.assertEqual([state.call for state in feeds], calls)

    @on_loopback
    async def test_new_log_level_takes_effect_at_once(self) -> None:
        daemon = await self.start([WHOLE])
        root = logging.getLogger(ROOT_NAME)
        self.addCleanup(root.setLevel, root.level)
        for level in ("debug", "error"):
            self.reload(daemon, log={"level": level})
            self.assertEqual(root.level, getattr(logging, level.upper()))
