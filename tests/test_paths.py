"""Tests of paths: what is put into one reads back, and nothing else does."""

import doctest
import unittest
from urllib.parse import unquote

from hypothesis import given, settings
from hypothesis import strategies as st
from yarl import URL

from beryltiller.core import paths
from beryltiller.core.paths import PathError, url_path

# Unicode text, most of it characters that a URL gives a meaning.
SEGMENTS = st.text(
    st.one_of(
        st.sampled_from("/?#%.;&=+ \r\n\0\\:@~"),
        st.characters(codec="utf-8"),
    ),
    min_size=1,
    max_size=12,
).filter(lambda text: text not in (".", ".."))


class PathTest(unittest.TestCase):
    """Segments keep their borders on the way through the HTTP client."""

    @settings(max_examples=500, derandomize=True, database=None, deadline=None)
    @given(st.lists(SEGMENTS, min_size=1, max_size=4))
    def test_segments_are_read_back(self, segments: list[str]) -> None:
        url = URL(f"http://127.0.0.1:1{url_path(*segments)}")
        found = [unquote(each) for each in url.raw_path.split("/")[1:]]
        self.assertEqual(found, segments)
        self.assertEqual((url.raw_query_string, url.raw_fragment), ("", ""))

    def test_segment_that_no_path_can_hold_is_refused(self) -> None:
        for segment in ("", ".", "..", "\udcff"):
            with self.subTest(segment), self.assertRaises(PathError):
                url_path("v1", segment)

    def test_doctest(self) -> None:
        self.assertEqual(doctest.testmod(paths).failed, 0)
