Feature: Slow servers lose their work and get it back
  Guards against a server that answers probes but takes four times as long.

  Scenario: One of ten servers becomes slow and recovers
    Given 10 servers that answer in 26 ms a token
    When server "s3" takes 104 ms a token for 60 s
    Then in the last 20 s server "s3" got at most 0.05 of an equal share
    When all servers take 26 ms a token for 600 s
    Then in the last 20 s server "s3" got at least 0.5 of an equal share
