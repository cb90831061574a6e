/** Paths of objects in the configuration document. */
import {JackdawwoodError} from '../errors/jackdawwood-error.js';
import {valueAt} from '../settings/value-at.js';
import {ObjectMissing} from './errors-data.js';
import {collectionFields, type PropertyPath} from './object-kinds.js';
import {type ObjectKind} from './types.js';

export const objectPath = (object: ObjectKind, name: string): PropertyPath => [collectionFields[object], name];

/** Throws `ObjectMissing` when the document has no such object. */
export const checkExists = (document: unknown, object: ObjectKind, name: string): void => {
	if (valueAt(document, objectPath(object, name)) === undefined) {
		throw new JackdawwoodError(ObjectMissing, {object, name});
	}
};
