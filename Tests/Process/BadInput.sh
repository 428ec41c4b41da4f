#!/usr/bin/env bash
# Bad input gets a coded answer or a bounded close; other calls go on.
source "$(dirname "$0")/Support.sh"
start_fleet 1 2 1 true

here="http://$(address 101)"

code_of() { # CURL-ARGUMENT...
  curl -s -m 10 -o /dev/null -D - "$@" | tr -d '\r' |
    awk -F': ' 'tolower($1) == "dotterel-result-code" {print $2}'
}

check MalformedJson equals 1101 "$(code_of "$here/v1/completions" -d '{"model"')"
check PromptOfWrongType equals 1101 \
  "$(code_of "$here/v1/completions" -d '{"model": "roster", "prompt": 7}')"
check ChatWithoutMessages equals 1101 \
  "$(code_of "$here/v1/chat/completions" -d '{"model": "roster"}')"
check NegativeTokens equals 1101 "$(code_of "$here/v1/completions" \
  -d '{"model": "roster", "prompt": "x", "max_tokens": -1}')"
check UnknownModel equals 1102 "$(code_of "$here/v1/completions" \
  -d '{"model": "none", "prompt": "x"}')"
check UnknownService equals 1103 "$(code_of "$here/services/none/x")"
check WrongMethod equals 1105 "$(code_of "$here/v1/completions")"
check UnknownPath equals 1106 "$(code_of "$here/nowhere")"
head -c 5000000 /dev/zero | tr '\0' 'x' >"$fleet_dir/large"
check BodyTooLarge equals 1104 \
  "$(code_of "$here/v1/completions" --data-binary @"$fleet_dir/large")"
check HeadersTooLarge equals 1107 \
  "$(code_of "$here/v1/instances" -H "X-Large: $(head -c 20000 "$fleet_dir/large")")"
check BadDeadline equals 1101 "$(code_of "$here/v1/completions" \
  -H 'Dotterel-Deadline-Ms: soon' -d '{"model": "roster", "prompt": "x"}')"
deep_nesting() {
  { printf '{"model": "roster", "prompt": "x", "y": '
    head -c 1000000 /dev/zero | tr '\0' '['
    head -c 1000000 /dev/zero | tr '\0' ']'
    printf '}'; } >"$fleet_dir/deep"
  equals 1101 \
    "$(code_of "$here/v1/completions" --data-binary @"$fleet_dir/deep")"
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
  [ $((after - before)) -lt 10 ] || { echo "  $after of $before left"; return 1; }
}
check HalfOpenConnectionsEnd half_open

check GoodAnswersCarryACodeToo equals '1000 1000' \
  "$(code_of "$here/v1/instances") $(code_of "$here/v1/completions" \
    -d '{"model": "roster", "prompt": "x", "max_tokens": 2}')"
check OtherCallsGoOn equals 200 "$(complete 1 5)"
check KeyedRefusalSaysUnknown equals unknown \
  "$(curl -s -o /dev/null -D - -X POST "$here/services/none/x" \
    -H 'Idempotency-Key: k' | tr -d '\r' |
    awk -F': ' 'tolower($1) == "dotterel-outcome" {print $2}')"

# An instance with another key is refused and changes nothing.
write_settings 2 a
sed -i 's/a key for loopback only/another key, not ours/' "$fleet_dir/i2.json"
list_instances 1 2
start instance2 $program serve --settings "$fleet_dir/i2.json"
refused() {
  curl -sf "$here/metrics" | grep -q '^dotterel_peers_refused_total [1-9]'
}
check WrongPeerKeyIsRefused wait_for 10 refused
check WrongPeerKeyJoinsNothing equals 1 "$(steering 1 | grep -o key_prefix | wc -l)"

metrics_parse() {
  curl -sf "$here/metrics" | awk '
    /^#/ || /^[a-z_]+(\{[^{}]*\})? [-+0-9.eEInfa]+$/ {next}
    {print "  " $0; bad = 1} END {exit bad}'
}
check MetricsParse metrics_parse
check MetricsHaveHistogramsPerCallerAndClass \
  grep -q 'dotterel_call_seconds_bucket{caller="",class="interactive"' \
  <(curl -sf "$here/metrics")

finish
