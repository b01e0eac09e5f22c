"""Engine routes for control: load orders and the load report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .listener import Request
from .listener import get_header
from .listener import get_reactor
from .listener import read_body
from .listener import reply_error
from .listener import reply_json
from .loads import report_load
from .orders import LoadOrder
from .orders import apply_order


if TYPE_CHECKING:
    from klein import Klein

    from .engine import Engine


FENCING_HEADER = "X-Fencing"


def add_order_routes(app: Klein, engine: Engine) -> None:
    """Add the routes for load orders and the load report."""

    @app.route("/v1/versions", methods=["PUT"])
    def put_versions(request: Request) -> bytes:
        try:
            order = msgspec.json.decode(read_body(request), type=LoadOrder)
        except msgspec.DecodeError as error:
            return reply_error(
                request, status=400, code="bad_order", message=str(error)
            )

        header = get_header(request, FENCING_HEADER)
        if header and header != str(order.fencing):
            message = f"{FENCING_HEADER} is {header}, the body says {order.fencing}"
            return reply_error(
                request, status=400, code="fencing_mismatch", message=message
            )

        if not apply_order(engine.orders, engine.settings, order):
            message = f"fencing number {engine.orders.fencing} was seen"
            return reply_error(
                request, status=409, code="fencing_too_low", message=message
            )

        return reply_json(request, describe_orders(engine))

    @app.route("/v1/versions", methods=["GET"])
    def show_versions(request: Request) -> bytes:
        return reply_json(request, describe_orders(engine))

    @app.route("/v1/load", methods=["GET"])
    def show_load(request: Request) -> bytes:
        return reply_json(request, report_load(engine, get_reactor().seconds()))


def describe_orders(engine: Engine) -> dict[str, object]:
    """Return the loaded and loading versions and the highest fencing number."""
    return {
        "fencing": engine.orders.fencing,
        "versions": sorted(engine.orders.loaded),
        "loading": sorted(engine.orders.loading),
    }
