#!/usr/bin/env bash
# Shows where a day of the fleet bench lost worth, from the report that
# 'fleetbench run SITE DAY --report FILE' wrote:
#   Meta/worth.sh FILE
set -euo pipefail
[ $# -eq 1 ] || { echo "usage: Meta/worth.sh REPORT" >&2; exit 2; }
command -v jq >/dev/null || { echo "worth.sh needs jq" >&2; exit 1; }
# Rows of the report's "prices" that change the worth by no more than this are
# left out.
smallest_price=0.002
# Number of time windows listed, the worst first.
windows=6

jq -r --argjson smallest $smallest_price --argjson windows $windows '
  def rounded: . * 1000 | round / 1000;
  def row: map(tostring) | join("\t");
  (["worth", .G, "served", .served, "refused", .refused, "failed", .failed] | row),
  "",
  (["part", "weight", "reached"] | row), (.parts[] | row),
  "",
  (["class", "requests", "in target", "late", "refused", "failed", "worth"] | row),
  (.classes[] | [.name, .n, .in_aim, .late, .refused, .failed, .worth] | row),
  "",
  (["second", "requests", "late", "refused", "failed", "worth"] | row),
  (.windows | sort_by(.worth)[:$windows][] |
    [.name, .n, .late, .refused, .failed, .worth] | row),
  "",
  (["last response to requests that were not served", "requests"] | row),
  (.unserved_by[] | .[:2] | row),
  "",
  (["price", "amount", "worth"] | row),
  (.prices | map(select((.[2] | fabs) > $smallest)) | sort_by(-.[2])[] |
    [.[0], (.[1] | rounded), .[2]] | row),
  (.breaks | to_entries[] | ["broken rule", .key, (.value | tostring)] | row)
' "$1" | column -t -s $'\t' -e 2>/dev/null || exit 1
