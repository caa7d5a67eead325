#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/6/play.mjs
