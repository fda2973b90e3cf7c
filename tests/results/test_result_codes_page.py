"""Tests of the documentation of result codes."""

from __future__ import annotations

import pathlib
import unittest

from balsamwall.results import result_code

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "result-codes.md"


class ResultCodesPageTest(unittest.TestCase):
    """Agreement of the documentation with the source."""

    def test_table_equals_the_source(self) -> None:
        """Guards against wrong advice on repetition in the documentation.

        A caller that follows it could run a request twice.
        """
        rows = [
            [cell.strip() for cell in line.strip("|").split("|")]
            for line in PAGE.read_text().splitlines()
            if line.startswith("| ") and line[2].isdigit()
        ]
        rows = [row for row in rows if row[0].isdigit()]
        expected = [
            [
                str(code.number),
                code.name,
                str(code.http_status),
                code.ran.value,
                code.repeat.value,
            ]
            for code in result_code.ResultCode
        ]
        self.assertEqual(expected, rows)
        numbers = [code.number for code in result_code.ResultCode]
        self.assertEqual(len(numbers), len(set(numbers)))
