"""State with the life span of a version: configuration, plans and moves."""

from berylspool.version.configuration import *
from berylspool.version.placement import *
