#!/usr/bin/env node
import {runProcess} from '../shared/process.js';
import {startProxy} from './proxy.js';
import {proxySettingsSchema} from './settings.js';

await runProcess('proxy', proxySettingsSchema, startProxy);
