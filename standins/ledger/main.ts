#!/usr/bin/env node
import {runProcess} from '../shared/process.js';
import {startLedger} from './ledger.js';
import {ledgerSettingsSchema} from './settings.js';

await runProcess('ledger', ledgerSettingsSchema, startLedger);
