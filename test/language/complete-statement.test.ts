import test from 'ava';
import fc from 'fast-check';
import {completeStatement} from '../../src/core/language/complete-statement.js';

const candidates = (text: string): string => completeStatement(text).candidates.join(' ');

test('completion proposes the words that are valid next', t => {
	t.is(candidates('te'), 'teams');
	t.is(candidates('teams where back'), 'backlogged');
	t.is(candidates('teams sort by behind d'), 'desc');
	t.is(candidates('change t'), 'team target');
	t.is(candidates('change team couriers set w'), 'weight');
	t.is(candidates('change team couriers set weight '), 'true false none');
	t.is(candidates('change contract tariff-1 set cold'), 'cold_limit');
	t.is(candidates('add token 00ff to '), 'team operator');
	t.is(candidates('drain target tariff-1 '), '');
	t.is(candidates('nonsense '), '');
});

test('any text can be completed, and candidates begin with its last word', t => {
	const piece = fc.constantFrom('teams', 'where', '(', 'not', 'queued', '>', '3', 'change', 'team', 'set', '"', ' ');
	const text = fc.oneof(fc.string({unit: 'binary', maxLength: 30}), fc.array(piece, {maxLength: 12}).map(pieces => pieces.join(' ')));
	t.notThrows(() => {
		fc.assert(fc.property(text, sample => {
			const {partial, candidates: proposed} = completeStatement(sample);
			return sample.endsWith(partial) && proposed.every(candidate => candidate.startsWith(partial));
		}), {seed: 33, numRuns: 500});
	});
});
