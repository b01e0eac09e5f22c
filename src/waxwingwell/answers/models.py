"""Pydantic models of the answers to the questionnaire.

Every model is strict and rejects unknown keys. The description of a field is the
question that the field answers.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import StringConstraints

from ..records import PRIORITY_ORDER
from ..records import Role


QUESTIONNAIRE_VERSION = 1
MAX_STAGES = 20
MAX_REQUEST_BYTES = 64_000_000

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9_-]{0,63}$")]
"""Lower-case letters, digits, hyphen and underscore."""

VersionName = Annotated[
    str,
    StringConstraints(pattern=r"^[A-Za-z0-9._-]+@[A-Za-z0-9._-]+$", max_length=200),
]
"""A version of a model, written ``model@version``."""

ModelOrVersion = Annotated[
    str,
    StringConstraints(pattern=r"^[A-Za-z0-9._-]+(@[A-Za-z0-9._-]+)?$", max_length=200),
]
Path = Annotated[str, StringConstraints(pattern=r"^/[^\s?#]*$", max_length=200)]
Digest = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Share = Annotated[float, Field(gt=0, le=1)]
Weight = Annotated[float, Field(ge=0, le=1000)]


class Method(StrEnum):
    """HTTP methods that calls to plain services may use."""

    GET = "GET"
    HEAD = "HEAD"
    POST = "POST"
    PUT = "PUT"
    PATCH = "PATCH"
    DELETE = "DELETE"


class Pace(StrEnum):
    """Predefined roll-out paces."""

    CAREFUL = "careful"
    STEADY = "steady"
    QUICK = "quick"


class StrictModel(BaseModel):
    """Base class of all answers: strict, immutable and without unknown keys."""

    model_config = ConfigDict(
        strict=True, extra="forbid", frozen=True, allow_inf_nan=False
    )


class KindAnswers(StrictModel):
    """One kind of work that is sent to models."""

    name: Name = Field(description="What is this kind of work called?")
    what: str = Field(
        default="", max_length=500, description="What is it, in your own words?"
    )
    quality_target: Share = Field(
        description="Which mean rating (0 to 1) must its answers reach?"
    )
    waits_for_whole: bool = Field(
        default=False,
        description=(
            "Can the caller wait for a whole answer? Then a cheap model may answer "
            "first and a better one only if the rating asks for it."
        ),
    )


class CallAnswers(StrictModel):
    """Calls of a plain service that share one rule."""

    name: Name = Field(description="What are these calls called?")
    path: Path = Field(description="With which path do they begin?")
    methods: tuple[Method, ...] = Field(
        min_length=1, description="Which HTTP methods do they use?"
    )
    repeatable: bool = Field(
        description="May such a call be repeated (is it idempotent)?"
    )


class ServiceAnswers(StrictModel):
    """One plain (non-model) service and its calls."""

    name: Name = Field(description="What is the service called?")
    calls: tuple[CallAnswers, ...] = Field(
        min_length=1, description="Which calls does it take?"
    )


class ModelAnswers(StrictModel):
    """Models and versions that may or must not be used."""

    allowed: tuple[VersionName, ...] = Field(
        min_length=1, description="Which versions may do your work?"
    )
    never: tuple[ModelOrVersion, ...] = Field(
        default=(), description="Which models or versions must never do it?"
    )


class WeightAnswers(StrictModel):
    """Relative weights of the three measures; only their ratio matters."""

    cost: Weight = Field(default=1.0, description="How much does cost matter?")
    latency: Weight = Field(default=1.0, description="How much does latency matter?")
    exposure: Weight = Field(
        default=1.0, description="How much does exposure to bad versions matter?"
    )


class LimitAnswers(StrictModel):
    """Limits of a workspace, shared between all entries."""

    requests_per_second: float = Field(
        default=50.0, gt=0, le=1e6, description="How many requests a second at most?"
    )
    max_in_flight: int = Field(
        default=64, gt=0, le=1_000_000, description="How many at the same time?"
    )
    max_wait_seconds: float = Field(
        default=10.0,
        ge=0,
        le=600,
        description="Longer than which wait is a refusal better than an answer?",
    )
    max_body_bytes: int = Field(
        default=1_000_000,
        gt=0,
        le=MAX_REQUEST_BYTES,
        description="How large is the largest request body?",
    )


class RolloutAnswers(StrictModel):
    """Roll-out of a new version: a predefined pace, custom settings, or both."""

    pace: Pace | None = Field(
        default=None, description="How fast: careful, steady or quick?"
    )
    stages: tuple[Share, ...] | None = Field(
        default=None,
        min_length=1,
        max_length=MAX_STAGES,
        description="Or: which share of new sessions at each stage, rising to 1?",
    )
    max_unrated: int | None = Field(
        default=None,
        gt=0,
        le=100_000,
        description="How many answers of a new version may be out without a rating?",
    )
    false_alarm: float | None = Field(
        default=None,
        gt=0,
        lt=0.5,
        description="Which chance of withdrawing a good version is acceptable?",
    )
    margin: float | None = Field(
        default=None,
        gt=0,
        lt=1,
        description="Which loss of mean rating makes a version bad?",
    )


class KeyAnswers(StrictModel):
    """One API key, of which only the digest is stored."""

    name: Name = Field(description="Who holds the key?")
    sha256: Digest = Field(description="SHA-256 of the key, 64 hex digits")
    role: Role = Field(
        default=Role.CALLER, description="May its holder call, or operate as well?"
    )
    revoked: bool = Field(default=False, description="Is it revoked?")


class Answers(StrictModel):
    """All answers of one workspace."""

    questionnaire: Literal[1] = Field(
        default=1, description="Version of the questionnaire that is answered"
    )
    revises: int = Field(
        default=0,
        ge=0,
        description="Which revision do these answers revise? (0: a new workspace)",
    )
    workspace: Name = Field(description="What is the workspace called?")
    team: str = Field(default="", max_length=200, description="Whose is it?")
    kinds: tuple[KindAnswers, ...] = Field(
        min_length=1, description="Which kinds of work do you send to models?"
    )
    default_kind: Name | None = Field(
        default=None,
        description="Which kind is a request that names none? (the first by default)",
    )
    services: tuple[ServiceAnswers, ...] = Field(
        default=(), description="Which plain services do you call?"
    )
    who_waits: tuple[Annotated[tuple[Name, ...], Field(min_length=1)], ...] = Field(
        min_length=1,
        max_length=len(PRIORITY_ORDER),
        description=(
            "Who waits for whom? Groups of kinds and calls; those of a later group "
            "wait for those of an earlier one."
        ),
    )
    models: ModelAnswers = Field(description="Which models and versions?")
    weights: WeightAnswers = Field(
        default=WeightAnswers(), description="What matters how much?"
    )
    limits: LimitAnswers = Field(default=LimitAnswers(), description="Which limits?")
    rollout: RolloutAnswers = Field(
        default=RolloutAnswers(), description="How does a new version take over?"
    )
    data_centres: tuple[Name, ...] = Field(
        default=(),
        description="In which data centres may the work run? (none named: in all)",
    )
    keys: tuple[KeyAnswers, ...] = Field(default=(), description="Which keys?")
