"""Simulation of a fleet in virtual time, with fakes at its interfaces."""

from __future__ import annotations
