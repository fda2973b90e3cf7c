"""Demand forecast, placement plan and weight permits."""

from __future__ import annotations
