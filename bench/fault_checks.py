"""Checks of callers' results against ledger rows, bills and executions."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from scripts.topology import PRICES
from scripts.topology import WORKSPACE

from waxwingwell.messages import Command
from waxwingwell.records import OutcomeKind
from waxwingwell.records import RowStatus
from waxwingwell.records import WorkspaceId
from waxwingwell.state.consensus.records import EntryKind
from waxwingwell.state.control import ControlState
from waxwingwell.state.machine import apply_command
from waxwingwell.state.machine import load_state
from waxwingwell.state.storage import open_store

from .fault_callers import Attempt
from .fault_callers import Call
from .fault_callers import Kind
from .fault_callers import make_expected_text


if TYPE_CHECKING:
    from pathlib import Path

    from waxwingwell.records import LedgerRow

    from .fault_schedule import Fault


GROUP = "control"
DONE = b"data: [DONE]\n\n"
RESTART_SECONDS = 6.0
"""Seconds after a kill during which an entry may still be starting."""


@dataclass(slots=True)
class Findings:
    """Results of the checks; each violation names its request and reason."""

    outcomes: Counter[str] = field(default_factory=Counter)
    """Number of requests by kind and outcome."""
    violations: list[str] = field(default_factory=list)
    lost: int = 0
    """Attempts without a complete response after ``CALLER_TIMEOUT_SECONDS``."""
    duplicated: int = 0
    cut: int = 0
    """Attempts whose connection was lost though their entry was not killed."""
    cut_by_kill: int = 0
    """Attempts whose connection was lost as their entry was killed."""
    billed: int = 0
    """Responses that were compared with their billing rows."""


def read_state(folder: Path) -> ControlState:
    """Return the state in the data folder of a stopped control process."""
    store = open_store(folder, GROUP)
    try:
        loaded = store.load()
    finally:
        store.close()

    state = ControlState()
    index = loaded.base_index
    if loaded.snapshot is not None:
        state = load_state(loaded.snapshot.data)

    applied = loaded.snapshot.index if loaded.snapshot is not None else 0
    decoder = msgspec.msgpack.Decoder(Command)
    for entry in loaded.entries:
        index += 1
        if index > applied and entry.kind is EntryKind.COMMAND:
            apply_command(state, decoder.decode(entry.data))

    return state


def check_calls(
    calls: list[Call],
    state: ControlState,
    counts: dict[str, dict[str, int]],
    faults: list[Fault],
) -> Findings:
    """Compare every request with its ledger row and its executions."""
    findings = Findings()
    kills = [fault for fault in faults if fault.name == "kill entry"]
    for call in calls:
        _check_attempts(findings, call, counts, kills)
        if call.kind is Kind.ORDER:
            _check_order(findings, call, state, counts["orders"].get(call.name, 0))
        else:
            _check_chat(findings, call, state)

    return findings


def check_bills(findings: Findings, state: ControlState) -> None:
    """Compare the bills with the totals of their rows; all rows must be closed."""
    rows = state.ledger.rows.values()
    if any(row.status is RowStatus.OPEN for row in rows):
        findings.violations.append("rows are open at the end")

    billed = [row for row in rows if row.outcome is not OutcomeKind.NOT_RUN]
    billed = [
        row
        for row in billed
        if state.ledger.swept.get((row.workspace, row.key)) != row.request
    ]
    bills = list(state.ledger.bills.bills.values())
    if sum(bill.requests for bill in bills) != len(billed):
        findings.violations.append("bills: another number of requests than rows")

    if sum(bill.cost for bill in bills) != sum(row.usage.cost for row in billed):
        findings.violations.append("bills: another cost than the rows'")


def _check_attempts(
    findings: Findings,
    call: Call,
    counts: dict[str, dict[str, int]],
    kills: list[Fault],
) -> None:
    for attempt in call.attempts:
        if attempt.timed_out:
            findings.lost += 1
        elif attempt.status == 0 and _was_killed(attempt, kills):
            findings.cut_by_kill += 1
        elif attempt.status == 0:
            findings.cut += 1
            findings.outcomes[f"cut at {attempt.entry}"] += 1

        executions = counts["chats"].get(attempt.request, 0)
        executions += counts["calls"].get(attempt.request, 0)
        if attempt.outcome == "not_run" and attempt.request and executions:
            findings.violations.append(f"{call.name}: refused as not run, and ran")


def _was_killed(attempt: Attempt, kills: list[Fault]) -> bool:
    return any(
        kill.target == attempt.entry
        and attempt.ended_at >= kill.started_at
        and attempt.started_at <= kill.ended_at + RESTART_SECONDS
        for kill in kills
    )


def _check_order(
    findings: Findings, call: Call, state: ControlState, executions: int
) -> None:
    row = _find_row(state, call.key)
    successful = [attempt for attempt in call.attempts if attempt.status == 201]
    if executions > 1:
        findings.duplicated += 1
        findings.violations.append(f"{call.name}: ran {executions} times")

    if successful:
        findings.outcomes["order answered"] += 1
        findings.billed += 1
        if len({attempt.body for attempt in successful}) > 1:
            findings.violations.append(f"{call.name}: two answers")

        if executions != 1 or row is None or row.outcome is not OutcomeKind.COMPLETED:
            findings.violations.append(
                f"{call.name}: answered, {executions} runs, row {row}"
            )

        return

    last = call.attempts[-1]
    findings.outcomes[f"order {last.outcome or 'cut'} {last.code}"] += 1
    reported = {attempt.outcome for attempt in call.attempts}
    if reported == {"not_run"} and executions:
        findings.violations.append(f"{call.name}: told not run, and ran")


def _check_chat(findings: Findings, call: Call, state: ControlState) -> None:
    complete = [attempt for attempt in call.attempts if _is_complete(call, attempt)]
    for attempt in complete:
        findings.outcomes[f"{call.kind} whole"] += 1
        findings.billed += 1
        problem = _compare_response(call, attempt, state)
        if problem:
            findings.violations.append(f"{call.name} {attempt.request}: {problem}")

    if complete:
        return

    last = call.attempts[-1]
    reported = last.outcome or ("error event" if last.status == 200 else "cut")
    findings.outcomes[f"{call.kind} {reported} {last.code}"] += 1
    for attempt in call.attempts:
        # An attempt that lost its connection may be billed; one whose response
        # reported another outcome may not.
        row = _find_row(state, call.key or attempt.request)
        reported_end = attempt.status != 0 and row and row.request == attempt.request
        # This error refers to an earlier attempt with the key and carries its id.
        reported_end = reported_end and attempt.code != "already_answered"
        if reported_end and row and row.outcome is OutcomeKind.COMPLETED:
            findings.violations.append(f"{call.name}: billed, and told {attempt.code}")


def _is_complete(call: Call, attempt: Attempt) -> bool:
    if attempt.status != 200:
        return False

    return call.kind is Kind.COMPLETE or attempt.body.endswith(DONE)


def _compare_response(call: Call, attempt: Attempt, state: ControlState) -> str:
    """Return what is wrong with a complete response; empty if nothing is."""
    version, text, usage = _read_response(call, attempt)
    if text != make_expected_text(version, call.prompt):
        return "not the whole answer to this prompt"

    row = _find_row(state, call.key or attempt.request)
    if row is None or row.outcome is not OutcomeKind.COMPLETED:
        return f"answered whole, row {row}"

    tokens = (usage["prompt_tokens"], usage["completion_tokens"])
    if (row.usage.prompt_tokens, row.usage.answer_tokens) != tokens:
        return f"billed {row.usage}, seen {tokens}"

    price = PRICES[version.partition("@")[0]]
    if row.usage.cost != round(tokens[0] * price + tokens[1] * price * 2):
        return f"billed {row.usage} at {version}"

    return ""


def _read_response(call: Call, attempt: Attempt) -> tuple[str, str, Any]:
    if call.kind is Kind.COMPLETE:
        response = json.loads(attempt.body)
        text = response["choices"][0]["message"]["content"]
        return response["model"], text, response["usage"]

    version, parts, usage = "", [], None
    for block in attempt.body.split(b"\n\n"):
        data = block.partition(b"data: ")[2]
        if not data.startswith(b"{"):
            continue

        chunk = json.loads(data)
        version = chunk["model"]
        usage = chunk.get("usage") or usage
        parts += [item["delta"].get("content") or "" for item in chunk["choices"]]

    return version, "".join(parts), usage


def _find_row(state: ControlState, key: str) -> LedgerRow | None:
    return state.ledger.rows.get((WorkspaceId(WORKSPACE), key))
