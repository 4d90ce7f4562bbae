#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/9/case.mjs
