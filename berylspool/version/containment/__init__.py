"""Containment of requests that crash every upstream that runs them.

Such a request may be sent again through any entry, and here no entry owns the
upstreams.  Entries report the losses that no answer has explained away to the
leader of control, which adds them up and tells all entries which requests to
hold.  A held request is tried again at times, at one entry and with one copy.
Reference: "query of death" in Beyer et al., "Site Reliability Engineering",
O'Reilly 2016, chapter 22.
"""
