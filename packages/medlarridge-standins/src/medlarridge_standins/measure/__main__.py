"""Run the measurements: all, or those named as arguments."""

import sys

from medlarridge._internal.log import configure_logging

from .. import measure as package
from ..report import import_modules

configure_logging("ERROR")
import_modules(package)
package.measure.run(sys.argv[1:])
