"""Checks of a run under faults: what callers saw against rows, bills and runs."""

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
from .fault_callers import make_text


if TYPE_CHECKING:
    from pathlib import Path

    from waxwingwell.records import LedgerRow

    from .fault_schedule import Fault


GROUP = "control"
DONE = b"data: [DONE]\n\n"
DOWN = 6.0
"""Seconds after a kill within which an entry may still be starting."""


@dataclass(slots=True)
class Findings:
    """What a run showed; each wrong request is named with its reason."""

    ends: Counter[str] = field(default_factory=Counter)
    """How requests ended, by kind and end."""
    wrong: list[str] = field(default_factory=list)
    lost: int = 0
    """Requests whose caller heard nothing for ``LIMIT`` seconds."""
    doubled: int = 0
    cut: int = 0
    """Replies that broke off though nobody had killed their entry."""
    cut_by_kill: int = 0
    billed: int = 0
    """Requests whose billing row was compared with what the caller saw."""


def read_state(folder: Path) -> ControlState:
    """Return the state that a stopped control process left in its data folder."""
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
    """Compare every request with its row and with what ran."""
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
    """Compare the bills with the sums of their rows; all rows must be closed."""
    rows = state.ledger.rows.values()
    if any(row.status is RowStatus.OPEN for row in rows):
        findings.wrong.append("rows are open at the end")

    billed = [row for row in rows if row.outcome is not OutcomeKind.NOT_RUN]
    billed = [
        row
        for row in billed
        if state.ledger.swept.get((row.workspace, row.key)) != row.request
    ]
    bills = list(state.ledger.bills.bills.values())
    if sum(bill.requests for bill in bills) != len(billed):
        findings.wrong.append("bills: another number of requests than rows")

    if sum(bill.cost for bill in bills) != sum(row.usage.cost for row in billed):
        findings.wrong.append("bills: another cost than the rows'")


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
            findings.ends[f"cut at {attempt.entry}"] += 1

        runs = counts["chats"].get(attempt.request, 0)
        runs += counts["calls"].get(attempt.request, 0)
        if attempt.outcome == "not_run" and attempt.request and runs:
            findings.wrong.append(f"{call.name}: refused as not run, and ran")


def _was_killed(attempt: Attempt, kills: list[Fault]) -> bool:
    return any(
        kill.target == attempt.entry
        and attempt.ended >= kill.began
        and attempt.began <= kill.ended + DOWN
        for kill in kills
    )


def _check_order(
    findings: Findings, call: Call, state: ControlState, runs: int
) -> None:
    row = _find_row(state, call.key)
    good = [attempt for attempt in call.attempts if attempt.status == 201]
    if runs > 1:
        findings.doubled += 1
        findings.wrong.append(f"{call.name}: ran {runs} times")

    if good:
        findings.ends["order answered"] += 1
        findings.billed += 1
        if len({attempt.body for attempt in good}) > 1:
            findings.wrong.append(f"{call.name}: two answers")

        if runs != 1 or row is None or row.outcome is not OutcomeKind.COMPLETED:
            findings.wrong.append(f"{call.name}: answered, {runs} runs, row {row}")

        return

    last = call.attempts[-1]
    findings.ends[f"order {last.outcome or 'cut'} {last.code}"] += 1
    told = {attempt.outcome for attempt in call.attempts}
    if told == {"not_run"} and runs:
        findings.wrong.append(f"{call.name}: told not run, and ran")


def _check_chat(findings: Findings, call: Call, state: ControlState) -> None:
    whole = [attempt for attempt in call.attempts if _is_whole(call, attempt)]
    for attempt in whole:
        findings.ends[f"{call.kind} whole"] += 1
        findings.billed += 1
        fault = _compare(call, attempt, state)
        if fault:
            findings.wrong.append(f"{call.name} {attempt.request}: {fault}")

    if whole:
        return

    last = call.attempts[-1]
    told = last.outcome or ("error event" if last.status == 200 else "cut")
    findings.ends[f"{call.kind} {told} {last.code}"] += 1
    for attempt in call.attempts:
        # A try that was cut may have been billed; one that was told its end may not.
        row = _find_row(state, call.key or attempt.request)
        told_end = attempt.status != 0 and row and row.request == attempt.request
        # This tells of an earlier try under the key, whose request id it carries.
        told_end = told_end and attempt.code != "already_answered"
        if told_end and row and row.outcome is OutcomeKind.COMPLETED:
            findings.wrong.append(f"{call.name}: billed, and told {attempt.code}")


def _is_whole(call: Call, attempt: Attempt) -> bool:
    if attempt.status != 200:
        return False

    return call.kind is Kind.WHOLE or attempt.body.endswith(DONE)


def _compare(call: Call, attempt: Attempt, state: ControlState) -> str:
    """Return what is wrong with an answer that claimed to be whole."""
    version, text, usage = _read_answer(call, attempt)
    if text != make_text(version, call.prompt):
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


def _read_answer(call: Call, attempt: Attempt) -> tuple[str, str, Any]:
    if call.kind is Kind.WHOLE:
        answer = json.loads(attempt.body)
        text = answer["choices"][0]["message"]["content"]
        return answer["model"], text, answer["usage"]

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
