#!/usr/bin/env bash
# Invalid input gets a response with a result code, or the connection is closed
# within a limited time; other calls are served meanwhile.
source "$(dirname "$0")/Support.sh"
start_fleet 1 2 1 true

url="http://$(address 101)"

result_code() { # CURL-ARGUMENT...
  curl -s -m 10 -o /dev/null -D - "$@" | tr -d '\r' |
    awk -F': ' 'tolower($1) == "dotterel-result-code" {print $2}'
}

check MalformedJson equals 1101 "$(result_code "$url/v1/completions" -d '{"model"')"
check PromptOfWrongType equals 1101 \
  "$(result_code "$url/v1/completions" -d '{"model": "roster", "prompt": 7}')"
check ChatWithoutMessages equals 1101 \
  "$(result_code "$url/v1/chat/completions" -d '{"model": "roster"}')"
check NegativeTokens equals 1101 "$(result_code "$url/v1/completions" \
  -d '{"model": "roster", "prompt": "x", "max_tokens": -1}')"
check UnknownModel equals 1102 "$(result_code "$url/v1/completions" \
  -d '{"model": "none", "prompt": "x"}')"
check UnknownService equals 1103 "$(result_code "$url/services/none/x")"
check WrongMethod equals 1105 "$(result_code "$url/v1/completions")"
check UnknownPath equals 1106 "$(result_code "$url/nowhere")"
head -c 5000000 /dev/zero | tr '\0' 'x' >"$fleet_dir/large"
check BodyTooLarge equals 1104 \
  "$(result_code "$url/v1/completions" --data-binary @"$fleet_dir/large")"
check HeadersTooLarge equals 1107 \
  "$(result_code "$url/v1/instances" -H "X-Large: $(head -c 20000 "$fleet_dir/large")")"
check BadDeadline equals 1101 "$(result_code "$url/v1/completions" \
  -H 'Dotterel-Deadline-Ms: soon' -d '{"model": "roster", "prompt": "x"}')"
deep_nesting() {
  { printf '{"model": "roster", "prompt": "x", "y": '
    head -c 1000000 /dev/zero | tr '\0' '['
    head -c 1000000 /dev/zero | tr '\0' ']'
    printf '}'; } >"$fleet_dir/deep"
  equals 1101 \
    "$(result_code "$url/v1/completions" --data-binary @"$fleet_dir/deep")"
}
check DeepNesting deep_nesting
not_http() {
  exec 5<>/dev/tcp/127.0.0.1/$((fleet_base + 101))
  printf 'hello there\r\n\r\n' >&5
  timeout 5 cat <&5 | grep -q '^Dotterel-Result-Code: 1101'
}
check NotHttp not_http

slow_sender() {
  sed -i 's/"peerKey"/"requestReadTimeoutMs": 1000, "peerKey"/' \
    "$fleet_dir/i9.json"
  start instance9 $program serve --settings "$fleet_dir/i9.json"
  wait_for 5 curl -s "http://$(address 109)/healthz" || return 1
  exec 6<>/dev/tcp/127.0.0.1/$((fleet_base + 109))
  printf 'POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\nx' >&6
  timeout 5 cat <&6 | grep -q '^Dotterel-Result-Code: 1108'
}
write_settings 9 a
check SlowSenderIsRefused slow_sender

half_open() {
  local n before after
  before=$(ls "/proc/$(pid_of instance9)/fd" | wc -l)
  for n in $(seq 1 20); do
    eval "exec {half$n}<>/dev/tcp/127.0.0.1/$((fleet_base + 109))"
    eval "printf 'POST / HTTP/1.1\r\n' >&\$half$n"
  done
  sleep 3
  after=$(ls "/proc/$(pid_of instance9)/fd" | wc -l)
  [ $((after - before)) -lt 10 ] || {
    echo "  $before open file descriptors before, $after after"
    return 1
  }
}
check HalfOpenConnectionsAreClosed half_open

check SuccessfulResponsesCarryACode equals '1000 1000' \
  "$(result_code "$url/v1/instances") $(result_code "$url/v1/completions" \
    -d '{"model": "roster", "prompt": "x", "max_tokens": 2}')"
check OtherCallsAreServed equals 200 "$(complete 1 5)"
check RefusalOfKeyedRequestIsUnknown equals unknown \
  "$(curl -s -o /dev/null -D - -X POST "$url/services/none/x" \
    -H 'Idempotency-Key: k' | tr -d '\r' |
    awk -F': ' 'tolower($1) == "dotterel-outcome" {print $2}')"

# An instance with another peer key is refused and is not offered to callers.
write_settings 2 a
sed -i 's/a key for loopback only/another key, not ours/' "$fleet_dir/i2.json"
list_instances 1 2
start instance2 $program serve --settings "$fleet_dir/i2.json"
refused() {
  curl -sf "$url/metrics" | grep -q '^dotterel_peers_refused_total [1-9]'
}
check WrongPeerKeyIsRefused wait_for 10 refused
check WrongPeerKeyIsNotOffered equals 1 "$(list_offered 1 | grep -o key_prefix | wc -l)"

metrics_parse() {
  curl -sf "$url/metrics" | awk '
    /^#/ || /^[a-z_]+(\{[^{}]*\})? [-+0-9.eEInfa]+$/ {next}
    {print "  invalid line: " $0; invalid = 1} END {exit invalid}'
}
check MetricsParse metrics_parse
check MetricsHaveHistogramsPerCallerAndClass \
  grep -q 'dotterel_call_seconds_bucket{caller="",class="interactive"' \
  <(curl -sf "$url/metrics")

finish
