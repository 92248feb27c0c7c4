"""Entry instances; each kind of node loads only what it needs.

``node`` holds the node of a single deployment with its own log,
``job_node`` that of a platform with a shared store.
"""
