"""The questionnaire: answers about traffic and rules, and what follows from them."""

from __future__ import annotations
