/** Encodes and decodes what VMs report to each other of ended target processes and condemned prompt parts. */
import {type MessageInitShape} from '@bufbuild/protobuf';
import {type QuarantineReport} from '../../core/quarantine/types.js';
import {type QuarantineNotes, type QuarantineNotesSchema} from '../../gen/jackdawwood/v1/exchange_pb.js';

/** Largest count or age in milliseconds that is sent. */
const MAX_UINT32 = 0xFF_FF_FF_FF;

const toUint32 = (value: number): number => Math.min(MAX_UINT32, Math.max(0, Math.round(value)));

/** Returns undefined for an empty report, which is not sent. */
export const encodeQuarantine = ({ends, sound, verdicts}: QuarantineReport): MessageInitShape<typeof QuarantineNotesSchema> | undefined =>
	ends.length + sound.length + verdicts.length === 0
		? undefined
		: {
			ends: ends.map(({target, bornMs, ageMs, observers, suspects}) => ({
				target, bornMs: BigInt(bornMs), ageMs: toUint32(ageMs), observers: [...observers],
				suspects: suspects.map(({requestHash, parts}) => ({request: requestHash, parts: [...parts]})),
			})),
			sound: sound.map(({part, ageMs}) => ({part, ageMs: toUint32(ageMs)})),
			verdicts: verdicts.map(({part, decidedBy, ageMs, seenAgeMs, checks, ends}) => ({
				part, decidedBy, ageMs: toUint32(ageMs), seenAgeMs: toUint32(seenAgeMs), checks, ends,
			})),
		};

export const decodeQuarantine = ({ends, sound, verdicts}: QuarantineNotes): QuarantineReport => ({
	ends: ends.map(({target, bornMs, ageMs, observers, suspects}) => ({
		target, bornMs: Number(bornMs), ageMs, observers, suspects: suspects.map(({request, parts}) => ({requestHash: request, parts})),
	})),
	sound: sound.map(({part, ageMs}) => ({part, ageMs})),
	verdicts: verdicts.map(({part, decidedBy, ageMs, seenAgeMs, checks, ends}) => ({
		part, decidedBy, ageMs, seenAgeMs, checks, ends,
	})),
});
