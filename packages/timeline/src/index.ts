/** Merges, filters and renders the journal records of all processes as one timeline. */
export { filterRecords, type Filter } from './lib/filterRecords';
export { mergeRecords } from './lib/mergeRecords';
export { parseRecords } from './lib/parseRecords';
export { renderHtml } from './lib/renderHtml';
export { renderText } from './lib/renderText';
