"""Run the measurements: all, or those named as arguments."""

import sys

from .. import measure as package
from ..report import import_modules

import_modules(package)
package.measure.run(sys.argv[1:])
