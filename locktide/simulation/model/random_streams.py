"""Chance for the model: one stream of numbers for each purpose, so that one more draw here moves nothing
there.
"""

from __future__ import annotations

import zlib
from math import exp

import numpy as np


def stream(seed: int, *purpose: str | int) -> np.random.Generator:
    """The same for the same seed and purpose, whatever else was drawn and whatever the hash seed is."""
    words = [zlib.crc32(str(part).encode()) for part in purpose]
    return np.random.Generator(np.random.PCG64([seed & 0xFFFFFFFF, seed >> 32, *words]))


def unit(seed: int, *purpose: str | int) -> float:
    """One number in [0, 1) for that purpose, without a generator: drawn millions of times in a long
    rehearsal.
    """
    state = zlib.crc32("/".join(map(str, purpose)).encode(), seed & 0xFFFFFFFF) | (seed & 0xFFFFFFFF) << 32
    # The finishing steps of SplitMix64 (Steele, Lea, Flood 2014) spread the bits of the checksum.
    state = (state + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    state = ((state ^ state >> 30) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    state = ((state ^ state >> 27) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
    return (state ^ state >> 31) / 2.0**64


def stretch(seed: int, sigma: float, *purpose: str | int) -> float:
    """A log-normal factor with mean 1, by the sum of twelve uniforms (Irwin-Hall)."""
    if not sigma:
        return 1.0
    normal = sum(unit(seed, *purpose, place) for place in range(12)) - 6.0
    return exp(sigma * normal - sigma * sigma / 2)
