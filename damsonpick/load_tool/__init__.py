"""An open-loop load generator. It sends requests on schedule, so latencies include the time that the target stalls."""
