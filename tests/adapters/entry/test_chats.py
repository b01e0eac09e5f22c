"""Validation of chat requests, which reports every invalid field."""

from __future__ import annotations

import unittest

import msgspec

from waxwingwell.adapters.entry.chats import ChatHeaders
from waxwingwell.adapters.entry.chats import make_upstream_body
from waxwingwell.adapters.entry.chats import parse_chat
from waxwingwell.adapters.entry.replies import Problem
from waxwingwell.records import Priority
from waxwingwell.records import VersionId
from waxwingwell.records import WorkKind
from waxwingwell.records import WorkspaceConfig
from waxwingwell.records import WorkspaceId


CONFIG = WorkspaceConfig(
    workspace=WorkspaceId("w"),
    revision=1,
    allowed=(VersionId("a@1"),),
    kinds=(
        WorkKind("question", Priority.QUESTION, 0.7),
        WorkKind("report", Priority.REPORT, 0.8),
    ),
)
MESSAGES = '"messages":[{"role":"user","content":"hi"}]'

INVALID_BODIES = (
    ("not JSON", "{", ("(whole)",)),
    ("not an object", "[]", ("(whole)",)),
    ("no messages", "{}", ("messages",)),
    ("empty messages", '{"messages":[]}', ("messages",)),
    ("no role", '{"messages":[{"content":"x"}]}', ("messages.0.role",)),
    (
        "two invalid fields",
        '{"messages":[{"role":""}],"max_tokens":0}',
        ("messages.0.role", "max_tokens"),
    ),
    ("stream not a boolean", "{" + MESSAGES + ',"stream":"maybe"}', ("stream",)),
)


def parse(body: str, headers: ChatHeaders = ChatHeaders()) -> object:  # noqa: B008
    """Parse a chat with a fixed data centre and deadline."""
    return parse_chat(body.encode(), headers, CONFIG, data_centre="d", deadline=9.0)


class ParseChatTest(unittest.TestCase):
    """Valid and invalid bodies."""

    def test_invalid_bodies_report_every_field(self) -> None:
        for name, body, places in INVALID_BODIES:
            with self.subTest(name):
                with self.assertRaises(Problem) as caught:
                    parse(body)

                problem = caught.exception
                self.assertEqual(problem.status, 400)
                self.assertEqual(tuple(f.place for f in problem.findings), places)

    def test_unknown_kind_lists_known_kinds(self) -> None:
        with self.assertRaises(Problem) as caught:
            parse("{" + MESSAGES + "}", ChatHeaders(kind="poem"))

        self.assertIn("question, report", caught.exception.message)

    def test_fields_are_forwarded_to_the_engine(self) -> None:
        body = "{" + MESSAGES + ',"temperature":0.5,"session":"s","stream":true}'
        chat = parse_chat(
            body.encode(), ChatHeaders(), CONFIG, data_centre="d", deadline=9.0
        )
        sent = msgspec.json.decode(make_upstream_body(chat, "a@1"))
        self.assertEqual(sent["temperature"], 0.5)
        self.assertEqual(sent["model"], "a@1")
        self.assertNotIn("session", sent)
        self.assertTrue(sent["stream_options"]["include_usage"])

    def test_prompts_share_the_digests_of_common_prefixes(self) -> None:
        first = '{"messages":[{"role":"user","content":"%s"}]}' % ("a" * 3000)
        chat = parse_chat(
            first.encode(), ChatHeaders(), CONFIG, data_centre="d", deadline=9.0
        )
        longer = parse_chat(
            first.replace("aaa", "aaa", 1).replace('a"}', 'abb"}').encode(),
            ChatHeaders(),
            CONFIG,
            data_centre="d",
            deadline=9.0,
        )
        shared = set(chat.work.prefixes) & set(longer.work.prefixes)
        self.assertEqual(len(shared), 2)
        self.assertEqual(
            list(chat.work.prefix_tokens), sorted(chat.work.prefix_tokens, reverse=True)
        )
