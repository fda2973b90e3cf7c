"""Scenarios in Gherkin and their steps."""

from __future__ import annotations
