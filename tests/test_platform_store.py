"""Tests of the store's client and of the promotion duty, with a fake store."""

from typing import Any
from unittest import mock

from aiohttp import web

from beryltiller.core.ports import (
    HistoryLostError,
    LostAnswerError,
    RefusedError,
    Write,
)
from beryltiller.platform.duty import DUTY_KEY, DUTY_TABLE
from beryltiller.platform.store import StoreClient
from tests.store_test_case import StoreTestCase


class StoreTest(StoreTestCase):
    """Reads followed by changes miss no write; errors say if a write may have run."""

    async def test_complete_table_of_many_pages(self) -> None:
        for number in range(1200):
            self.fake.put("t", f"k{number:04}", b"v")
        self.fake.put("other", "k", b"v")
        scan = await self.store.read_all("t")
        self.assertEqual(len({row.key for row in scan.rows}), 1200)
        self.assertEqual(scan.revision, self.fake.version)

    async def test_row_deleted_between_two_pages_is_among_the_changes(self) -> None:
        """Guard against a restarted proxy that uses a database which has left.

        Its row is deleted between two pages of the complete read. The deletion must be
        among the changes after the read's revision.
        """
        for number in range(600):
            self.fake.put("t", f"k{number:04}", b"v")
        answer = self.fake.answer

        def answer_then_delete(**fields: Any) -> web.Response:
            response = answer(**fields)
            if fields.get("has_more"):
                self.fake.delete("t", "k0000")
            return response

        with mock.patch.object(self.fake, "answer", answer_then_delete):
            scan = await self.store.read_all("t")
        changes = await self.store.read_changes("t", scan.revision, 0.0)
        self.assertEqual(changes.removed, ("k0000",))

    async def test_changes_list_written_and_deleted_rows(self) -> None:
        self.fake.put("t", "a", b"1")
        scan = await self.store.read_all("t")
        self.fake.put("t", "b", b"2")
        self.fake.delete("t", "a")
        changes = await self.store.read_changes("t", scan.revision, 0.0)
        self.assertEqual([(row.key, row.value) for row in changes.rows], [("b", b"2")])
        self.assertEqual(changes.removed, ("a",))

    async def test_history_that_is_no_longer_kept_raises_its_own_error(self) -> None:
        self.fake.oldest_feed_version = 100
        with self.assertRaises(HistoryLostError):
            await self.store.read_changes("t", 5, 0.0)

    async def test_refusals_and_lost_answers_raise_different_errors(self) -> None:
        write = (Write("t", "a", 0, b"1"),)
        for status in (429, 503):
            self.fake.refusal_status = status
            with self.subTest(status), self.assertRaises(RefusedError):
                await self.store.commit(write)
        self.fake.refusal_status = 0
        self.fake.loses_answers = True
        with self.assertRaises(LostAnswerError):
            await self.store.commit(write)
        self.fake.loses_answers = False
        with self.assertRaisesRegex(RefusedError, "conflict"):
            await self.store.commit(write)

    async def test_unreachable_store_refuses_with_its_code(self) -> None:
        store = StoreClient(self.session, "127.0.0.1:1")
        with self.assertRaisesRegex(RefusedError, "unreachable"):
            await store.read("t", "a")


class DutyTest(StoreTestCase):
    """The duty has one holder at a time; its token rises with every new claim."""

    async def test_second_proxy_can_claim_only_after_the_first_claim_ends(self) -> None:
        first = await self.duty("one").claim("s", 4.0)
        with self.assertRaisesRegex(RefusedError, "held: by one"):
            await self.duty("two").claim("s", 4.0)
        self.fake.now_ms += 4_000
        second = await self.duty("two").claim("s", 4.0)
        self.assertGreater(second.token, first.token)

    async def test_restarted_host_gets_a_higher_token(self) -> None:
        first = await self.duty("one").claim("s", 4.0)
        later = await self.duty("one").claim("s", 4.0)
        self.assertGreater(later.token, first.token)

    async def test_recent_claim_is_used_for_other_services_too(self) -> None:
        duty = self.duty("one")
        first = await duty.claim("s", 4.0)
        self.assertEqual(await duty.claim("t", 4.0), first)

    async def test_of_two_proxies_that_read_the_same_row_only_one_can_claim(
        self,
    ) -> None:
        dated = await self.store.read(DUTY_TABLE, DUTY_KEY)
        self.assertIsNone(dated.row)
        await self.duty("one").claim("s", 4.0)
        with self.assertRaisesRegex(RefusedError, "conflict"):
            await self.store.commit((Write(DUTY_TABLE, DUTY_KEY, 0, b"{}"),))

    async def test_claim_whose_answer_is_lost_is_not_reused(self) -> None:
        duty = self.duty("one")
        self.fake.loses_answers = True
        with self.assertRaises(LostAnswerError):
            await duty.claim("s", 4.0)
        self.fake.loses_answers = False
        claim = await duty.claim("s", 4.0)
        self.assertEqual(claim.token, self.fake.version)

    async def test_promotion_carries_holder_and_token(self) -> None:
        duty = self.duty("one")
        await duty.promote("s", "i-1", 17)
        self.assertEqual(self.fake.promotions, [("s", "i-1", "one", "17")])
        for status, pattern in ((409, "not running"), (429, "status 429")):
            self.fake.promotion_status = status
            with self.subTest(status), self.assertRaisesRegex(RefusedError, pattern):
                await duty.promote("s", "i-1", 17)
