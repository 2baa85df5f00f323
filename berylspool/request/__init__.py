"""What lives for one request: the query, its parts and its answer."""

from berylspool.request.fanout import *
from berylspool.request.fingerprint import *
from berylspool.request.query import *
