"""Test case with an embedded system of its own for each test, on free ports."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from tests.standins.support import AsyncTestCase
from tests.standins.support import send
from waxwingwell.adapters.settings import EmbeddedSettings
from waxwingwell.embedded.system import EmbeddedSystem
from waxwingwell.embedded.system import start_embedded
from waxwingwell.embedded.system import stop_embedded
from waxwingwell.embedded.workspace import DEMO_KEY


if TYPE_CHECKING:
    from waxwingwell_standins.client import Response


CHAT = "/v1/chat/completions"


def make_chat(**fields: Any) -> dict[str, Any]:
    """Return a small chat request body."""
    return {
        "messages": [{"role": "user", "content": "which loft?"}],
        "max_tokens": 5,
        **fields,
    }


class EmbeddedTestCase(AsyncTestCase):
    """Starts an embedded system before each test and stops it gracefully afterwards."""

    system: EmbeddedSystem

    async def setUp(self) -> None:  # type: ignore[override]
        from twisted.internet import reactor

        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        settings = EmbeddedSettings(
            port=0, admin_port=0, data_folder=Path(self.folder.name) / "data"
        )
        self.system = await start_embedded(settings, reactor)

    async def tearDown(self) -> None:  # type: ignore[override]
        await stop_embedded(self.system)

    @property
    def base(self) -> str:
        return f"http://127.0.0.1:{self.system.port}"

    async def call(
        self, path: str, body: object = None, *, method: str = "POST", **headers: str
    ) -> Response:
        headers.setdefault("Authorization", f"Bearer {DEMO_KEY}")
        return await send(method, self.base + path, body, **headers)
