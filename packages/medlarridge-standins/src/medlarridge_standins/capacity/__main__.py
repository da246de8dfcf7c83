"""Run the capacity scenarios named as arguments, or all of them.

With ``--write``, merge the figures into docs/capacity-results.json and update
docs/CAPACITY.md from them.
"""

import sys

from .. import capacity as package
from ..capacity_page import refresh_page
from ..capacity_results import merge_results
from ..report import import_modules

REPETITIONS = 3

import_modules(package)
arguments = sys.argv[1:]
names = [name for name in arguments if name != "--write"]
package.capacity.repetitions = REPETITIONS
figures = package.capacity.run(names)
if "--write" in arguments:
    merge_results(figures)
    refresh_page()
